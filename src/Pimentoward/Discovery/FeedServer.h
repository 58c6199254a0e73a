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

/// Hands this VM's copy of the store on to other VMs. Belongs to the task that keeps the copy.
class FeedServer
{
public:
    using FreshnessHook = std::function<FeedFreshness()>;

    FeedServer(event_base *loop, const Clock &clock, const StoreCopy &copy,
               FreshnessHook freshness);

    bool listen(const Address &address, Reason &reason) { return m_http.listen(address, reason); }
    /// The copy has changed: VMs that wait for that are answered.
    void onChanged();
    /// Calls answered so far.
    std::uint64_t calls() const { return m_calls; }

private:
    struct PendingWatch
    {
        Revision after = 0;
        SteadyTime until {};
        HttpServer::Responder respond;
    };

    void range(const HttpRequest &request, const HttpServer::Responder &respond);
    void watch(const HttpRequest &request, const HttpServer::Responder &respond);
    /// Answers where there is something to tell, or where `isDue`.
    bool answer(const PendingWatch &pending, bool isDue);
    /// The message of all changes after a revision. VMs that follow mostly ask from the same one,
    /// so that it is built once for all of them.
    const std::string &encodedChanges(Revision after, const StoreChanges &changes);
    void answerDueWatches();
    void startTimer();

    const Clock &m_clock;
    const StoreCopy &m_copy;
    FreshnessHook m_freshness;
    std::list<PendingWatch> m_pendingWatches;
    std::uint64_t m_calls = 0;
    /// The message built last, for which revisions, and when.
    struct CachedMessage
    {
        Revision after = 0;
        Revision upTo = 0;
        SteadyTime at {};
        std::string bytes;
    };
    CachedMessage m_cachedMessage;
    HttpServer m_http;
    Timer m_timer;
};

} // namespace pimentoward
