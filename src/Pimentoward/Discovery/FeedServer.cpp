#include "Pimentoward/Discovery/FeedServer.h"

#include "Pimentoward/Discovery/FeedPaths.h"

#include <algorithm>
#include <cstdlib>

namespace pimentoward {

namespace {

constexpr int statusGone = 410;
constexpr int statusUnavailable = 503;
/// Maximum time for which a watch waits for changes.
constexpr std::chrono::seconds maxWait {10};
/// How long an encoded message is reused. The age that it states is then too low by at most this
/// time.
constexpr std::chrono::milliseconds cachedMessageLifetime {50};

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
    , m_timer(loop, [this] { answerDueWatches(); })
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
            numberOf(request.parameter("waitMs")), std::chrono::milliseconds(maxWait).count())),
        maxWait);
    const StorePosition after {numberOf(request.parameter("era")),
                               numberOf(request.parameter("after"))};
    if (m_copy.era() < after.era) {
        // The caller knows of a later era; this copy has nothing for it yet.
        respond(refusal(statusUnavailable));
        return;
    }
    const PendingWatch pending {after, m_clock.now() + wait, respond};
    if (!answer(pending, wait == Duration::zero())) {
        m_pendingWatches.push_back(pending);
        startTimer();
    }
}

bool FeedServer::answer(const PendingWatch &pending, bool isDue)
{
    const std::optional<StoreChanges> changes = m_copy.changes(pending.after.revision);
    if (!changes || pending.after.era != m_copy.era()) {
        pending.respond(refusal(statusGone));
        return true;
    }
    if (changes->events.empty() && !isDue) {
        return false;
    }
    pending.respond(answerOf(encodedChanges(pending.after, *changes)));
    return true;
}

const std::string &FeedServer::encodedChanges(const StorePosition &after,
                                              const StoreChanges &changes)
{
    const SteadyTime now = m_clock.now();
    const bool hasSameRevisions
        = m_cachedMessage.after == after && m_cachedMessage.upTo == changes.revision;
    if (!hasSameRevisions || now - m_cachedMessage.at > cachedMessageLifetime) {
        m_cachedMessage
            = {after, changes.revision, now, encode(FeedChanges {changes, m_freshness()})};
    }
    return m_cachedMessage.bytes;
}

void FeedServer::onChanged()
{
    m_pendingWatches.remove_if(
        [this](const PendingWatch &pending) { return answer(pending, false); });
}

void FeedServer::answerDueWatches()
{
    const SteadyTime now = m_clock.now();
    m_pendingWatches.remove_if(
        [&](const PendingWatch &pending) { return pending.until <= now && answer(pending, true); });
    startTimer();
}

void FeedServer::startTimer()
{
    if (m_pendingWatches.empty()) {
        return;
    }
    const auto next = std::min_element(
        m_pendingWatches.begin(), m_pendingWatches.end(),
        [](const PendingWatch &a, const PendingWatch &b) { return a.until < b.until; });
    m_timer.startOnce(std::max(next->until - m_clock.now(), Duration::zero()));
}

} // namespace pimentoward
