#include "Pimentoward/Discovery/FeedServer.h"

#include "Pimentoward/Discovery/FeedPaths.h"

#include <algorithm>
#include <cstdlib>

namespace pimentoward {

namespace {

constexpr int statusGone = 410;
constexpr int statusUnavailable = 503;
/// Longest time that an asking VM is kept waiting.
constexpr std::chrono::seconds longestWait {10};
/// How long a message is used again; its statement of age gets wrong by no more.
constexpr std::chrono::milliseconds builtMessageLife {50};

std::uint64_t numberOf(const std::string &text)
{
    return std::strtoull(text.c_str(), nullptr, 10);
}

HttpAnswer answerOf(std::string body)
{
    HttpAnswer answer;
    answer.contentType = "application/cbor";
    answer.body = std::move(body);
    return answer;
}

HttpAnswer refusal(int status)
{
    HttpAnswer answer;
    answer.status = status;
    return answer;
}

} // namespace

FeedServer::FeedServer(event_base *loop, const Clock &clock, const StoreCopy &copy,
                       FreshnessHook freshness)
    : m_clock(clock)
    , m_copy(copy)
    , m_freshness(std::move(freshness))
    , m_http(loop, {})
    , m_timer(loop, [this] { answerDue(); })
{
    m_http.route("GET", feedRangePath,
                 [this](const HttpRequest &request, const HttpServer::Responder &respond) {
                     range(request, respond);
                 });
    m_http.route("GET", feedWatchPath,
                 [this](const HttpRequest &request, const HttpServer::Responder &respond) {
                     watch(request, respond);
                 });
}

void FeedServer::range(const HttpRequest &request, const HttpServer::Responder &respond)
{
    ++m_calls;
    if (!m_copy.isComplete()) {
        respond(refusal(statusUnavailable));
        return;
    }
    respond(answerOf(encode(FeedPage {m_copy.range(request.parameter("after")), m_freshness()})));
}

void FeedServer::watch(const HttpRequest &request, const HttpServer::Responder &respond)
{
    ++m_calls;
    if (!m_copy.isComplete()) {
        respond(refusal(statusUnavailable));
        return;
    }
    const Duration wait = std::min<Duration>(
        std::chrono::milliseconds(std::min<std::uint64_t>(
            numberOf(request.parameter("waitMs")), std::chrono::milliseconds(longestWait).count())),
        longestWait);
    const Waiting waiting {numberOf(request.parameter("after")), m_clock.now() + wait, respond};
    if (!answer(waiting, wait == Duration::zero())) {
        m_waiting.push_back(waiting);
        startTimer();
    }
}

bool FeedServer::answer(const Waiting &waiting, bool isDue)
{
    const std::optional<StoreChanges> changes = m_copy.changes(waiting.after);
    if (!changes) {
        waiting.respond(refusal(statusGone));
        return true;
    }
    if (changes->events.empty() && !isDue) {
        return false;
    }
    waiting.respond(answerOf(encoded(waiting.after, *changes)));
    return true;
}

const std::string &FeedServer::encoded(Revision after, const StoreChanges &changes)
{
    const SteadyTime now = m_clock.now();
    const bool isSame = m_built.after == after && m_built.upTo == changes.revision;
    if (!isSame || now - m_built.at > builtMessageLife) {
        m_built = {after, changes.revision, now, encode(FeedChanges {changes, m_freshness()})};
    }
    return m_built.bytes;
}

void FeedServer::onChanged()
{
    m_waiting.remove_if([this](const Waiting &waiting) { return answer(waiting, false); });
}

void FeedServer::answerDue()
{
    const SteadyTime now = m_clock.now();
    m_waiting.remove_if(
        [&](const Waiting &waiting) { return waiting.until <= now && answer(waiting, true); });
    startTimer();
}

void FeedServer::startTimer()
{
    if (m_waiting.empty()) {
        return;
    }
    const auto next
        = std::min_element(m_waiting.begin(), m_waiting.end(),
                           [](const Waiting &a, const Waiting &b) { return a.until < b.until; });
    m_timer.startOnce(std::max(next->until - m_clock.now(), Duration::zero()));
}

} // namespace pimentoward
