#include "Pimentoward/Connection/HealthChecker.h"

#include <algorithm>
#include <charconv>

namespace pimentoward {

namespace {

/// Maximum cold time that a reply can state; higher values are reduced to it.
constexpr std::chrono::milliseconds maxColdLeft {3'600'000};

/// The cold time that a reply states; zero if it states none or no valid one.
Duration coldLeft(const HttpReplyMessage &reply, const std::string &headerName)
{
    const std::string_view text = reply.headers.value(headerName);
    std::int64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || result.ec != std::errc() || value < 0) {
        return Duration::zero();
    }
    return std::min(std::chrono::milliseconds(value), maxColdLeft);
}

} // namespace

HealthChecker::HealthChecker(event_base *loop, const Settings &settings, ColdHook onCold)
    : m_settings(settings)
    , m_onCold(std::move(onCold))
    , m_period(settings.minPeriod)
    , m_expiryTimer(loop, [this] { cancelExpired(); })
{ }

void HealthChecker::changeVms(std::size_t vms)
{
    const std::chrono::duration<double> shared(static_cast<double>(vms)
                                               / m_settings.maxChecksPerSecond);
    m_period = std::max(m_settings.minPeriod, std::chrono::duration_cast<Duration>(shared));
}

bool HealthChecker::isDue(const BackendLink &link, SteadyTime now) const
{
    const bool isRunning = std::any_of(m_running.begin(), m_running.end(),
                                       [&](const Check &check) { return check.link == &link; });
    return now >= link.healthCheckedAt() + m_period && !isRunning && !link.coldLimit().isCold(now);
}

void HealthChecker::onUsed(BackendLink &link, SteadyTime now)
{
    if (m_areRecordsOutdated && !link.healthPath().empty() && link.hasFreeCapacity()
        && isDue(link, now)) {
        start(link, now);
    }
}

void HealthChecker::start(BackendLink &link, SteadyTime now)
{
    link.changeHealthCheckedAt(now);
    HttpRequestMessage request;
    request.target = link.healthPath();
    request.headers.add("Host", link.record().address.toString());
    BackendConnection::Exchange exchange;
    exchange.bytes = serialize(request);
    exchange.method = request.method;
    // The address may belong to another backend server by now, and late replies to other requests
    // carry no such ID.
    exchange.requestId = link.record().id;
    exchange.requestIdHeader = m_settings.headers.backendId;
    m_running.push_back({&link, nullptr, now + m_settings.timeout});
    const auto check = std::prev(m_running.end());
    check->connection = link.send(
        exchange, [this, check](ExchangeOutcome outcome, const HttpReplyMessage &reply) {
            onEnded(check, outcome, reply);
        });
    if (!m_expiryTimer.isPending()) {
        m_expiryTimer.startOnce(m_settings.timeout);
    }
}

void HealthChecker::onEnded(Checks::iterator check, ExchangeOutcome outcome,
                            const HttpReplyMessage &reply)
{
    BackendLink &link = *check->link;
    m_running.erase(check);
    if (outcome != ExchangeOutcome::Replied) {
        return;
    }
    if (const Duration left = coldLeft(reply, m_settings.headers.coldLeft); left.count() > 0) {
        m_onCold(link, left);
    }
}

void HealthChecker::cancelExpired()
{
    const SteadyTime now = std::chrono::steady_clock::now();
    while (!m_running.empty() && m_running.front().expiresAt <= now) {
        const Check check = m_running.front();
        m_running.pop_front();
        check.link->cancel(check.connection);
    }
    if (!m_running.empty()) {
        m_expiryTimer.startOnce(m_running.front().expiresAt - now);
    }
}

} // namespace pimentoward
