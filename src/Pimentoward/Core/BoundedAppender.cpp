#include "Pimentoward/Core/BoundedAppender.h"

#include "Pimentoward/Core/PlainText.h"

#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

#include <sstream>

namespace pimentoward {

namespace {

/// Number of bytes that a pipe reported as writable accepts in one write without blocking
/// (PIPE_BUF). Longer lines are truncated.
constexpr std::size_t maxLineBytes = 4096;

} // namespace

BoundedAppender::BoundedAppender(const Settings &settings)
    : m_settings(settings)
    , m_pacer(settings.linesPerSecond, settings.burst)
{ }

BoundedAppender::~BoundedAppender()
{
    destructorImpl();
}

void BoundedAppender::close()
{
    closed = true;
}

bool BoundedAppender::canWrite() const
{
    pollfd descriptor {m_settings.descriptor, POLLOUT, 0};
    return poll(&descriptor, 1, 0) == 1 && (descriptor.revents & POLLOUT) != 0;
}

void BoundedAppender::append(const log4cplus::spi::InternalLoggingEvent &event)
{
    if (!m_pacer.tryAcquire(std::chrono::steady_clock::now()) || !canWrite()) {
        ++m_dropped;
        return;
    }
    std::ostringstream text;
    layout->formatAndAppend(text, event);
    std::string line = text.str();
    line.pop_back();
    // Names and IDs in the line come from other writers; none may begin a line of its own.
    line = cleanText(line) + '\n';
    if (m_dropped > 0) {
        line.insert(line.size() - 1, " dropped_before=" + std::to_string(m_dropped));
    }
    if (line.size() > maxLineBytes) {
        line.resize(maxLineBytes - 1);
        line += '\n';
    }
    const ssize_t written = ::write(m_settings.descriptor, line.data(), line.size());
    m_dropped = written == static_cast<ssize_t>(line.size()) ? 0 : m_dropped + 1;
}

} // namespace pimentoward
