#pragma once

#include "Pimentoward/Connection/HttpServer.h"
#include "Pimentoward/Core/Clock.h"
#include "Pimentoward/Discovery/FeedMessages.h"
#include "Pimentoward/Discovery/StoreCopy.h"
#include "Pimentoward/Process/Timer.h"

#include <functional>
#include <list>

struct event_base;

namespace pimentoward {

/// Serves this VM's copy of the store to other VMs. Belongs to the task that owns the copy.
class FeedServer
{
public:
    using FreshnessHook = std::function<FeedFreshness()>;

    FeedServer(event_base *loop, const Clock &clock, const StoreCopy &copy,
               FreshnessHook freshness);

    /// Binds the address for other VMs. Returns false, with a reason, if that fails.
    bool listen(const Address &address, Reason &reason) { return m_http.listen(address, reason); }
    /// Answers the pending watches for which the copy now has changes, and those that follow
    /// another era of the store.
    void onChanged();
    /// Number of calls received so far.
    std::uint64_t calls() const { return m_calls; }

private:
    /// A watch that waits for changes after a revision.
    struct PendingWatch
    {
        StorePosition after;
        SteadyTime until {};
        HttpServer::Responder respond;
    };

    void range(const HttpRequest &request, const HttpServer::Responder &respond);
    void watch(const HttpRequest &request, const HttpServer::Responder &respond);
    /// Answers a watch if there are changes, or with none if `isDue`. Returns true if it has
    /// answered.
    bool answer(const PendingWatch &pending, bool isDue);
    /// Returns the message with all changes after a revision. VMs that follow this one mostly ask
    /// for changes after the same revision, so one message is encoded for all of them.
    const std::string &encodedChanges(const StorePosition &after, const StoreChanges &changes);
    void answerDueWatches();
    void startTimer();

    const Clock &m_clock;
    const StoreCopy &m_copy;
    FreshnessHook m_freshness;
    std::list<PendingWatch> m_pendingWatches;
    std::uint64_t m_calls = 0;
    /// The message that was encoded last, its range of revisions, and when it was encoded.
    struct CachedMessage
    {
        StorePosition after;
        Revision upTo = 0;
        SteadyTime at {};
        std::string bytes;
    };
    CachedMessage m_cachedMessage;
    HttpServer m_http;
    Timer m_timer;
};

} // namespace pimentoward
