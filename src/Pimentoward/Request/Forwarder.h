#pragma once

#include "Pimentoward/Connection/BackendFleet.h"
#include "Pimentoward/Connection/CallerConnection.h"
#include "Pimentoward/Connection/ForwardHeaders.h"
#include "Pimentoward/Request/ActiveRequest.h"
#include "Pimentoward/Request/BackendChooser.h"
#include "Pimentoward/Request/ForwardMessages.h"
#include "Pimentoward/Request/RequestPlanner.h"
#include "Pimentoward/Request/RequestReport.h"
#include "Pimentoward/Request/SharedRetryBudget.h"

#include <list>
#include <memory>
#include <set>
#include <unordered_map>

namespace pimentoward {

/// Each check may be switched off by tests that show what it prevents.
struct ForwarderChecks
{
    Gather::Checks gather;
    /// A reply must name the request that it answers.
    bool replyIdentity = true;
    /// A request names the backend server that it is meant for.
    bool expectedBackend = true;
    /// Work for a caller that has left is given up.
    bool callerGone = true;
    /// An address that another backend server has taken over gets nothing more.
    bool misdirected = true;
    /// Backend servers out of service get nothing new.
    bool outOfService = true;
    /// Cold backend servers get no more than they bear.
    bool coldLimit = true;
    /// Backend servers are told what is left of the caller's time, not what it was.
    bool timeLeft = true;
    /// Nothing is denied before settings are known.
    bool settingsFirst = true;
};

/// What a Forwarder is built from.
struct ForwarderSettings
{
    ForwardHeaders headers;
    /// Failure domain of this VM.
    FailureDomain failureDomain;
    SharedRetryBudget::Settings retryBudget;
    BackendFleet::Settings fleet;
    BackendChooser::Settings chooser;
    RequestPlanner::Settings plans;
    /// How long work goes on at backend servers after its request was answered, so that the
    /// connection can be used again.
    Duration lateReplyTime = std::chrono::milliseconds(400);
    /// The same after the caller has left.
    Duration callerGoneTime = std::chrono::milliseconds(250);
    ForwarderChecks checks;
};

/// Carries callers' requests to backend servers and back: asks the decision classes and does what
/// they say. Belongs to one task.
class Forwarder
{
public:
    Forwarder(event_base *loop, const ForwarderSettings &settings, Metrics &metrics);
    ~Forwarder();
    Forwarder(const Forwarder &) = delete;
    Forwarder &operator=(const Forwarder &) = delete;

    /// Takes another version of the settings; requests that run keep theirs.
    void changeRoutes(RouteTablePtr routes);
    void changeBackends(BackendListPtr backends);
    /// VMs that share what backend servers and services bear, this one included.
    void changeMembers(std::vector<MemberId> members);
    /// Takes other bounds of what all VMs share.
    void changeSharedLimits(const SharedRetryBudget::Settings &retries,
                            const ColdLimit::Settings &cold);

    void onRequest(CallerConnection &caller, CallerConnection::Arrival arrival);
    void onCallerGone(CallerConnection &caller);
    /// Requests that have no answer yet.
    std::size_t running() const { return m_requests.size(); }
    /// True once a request can be served: settings and backend servers are known.
    bool canServe() const { return m_routes != nullptr && m_backends != nullptr; }
    const BackendFleet &fleet() const { return m_fleet; }

private:
    /// One request at one backend server.
    struct Exchange
    {
        /// Null once its request has ended.
        ActiveRequest *request = nullptr;
        AttemptNumber attempt = 0;
        BackendLink *link = nullptr;
        BackendConnection *connection = nullptr;
        unsigned healthNumber = 0;
        SteadyTime sentAt {};
        Duration medianTime {};
        /// When it is given up after its request has ended.
        SteadyTime expiresAt {};
        /// Route of the request, by which its time is learned.
        RouteTablePtr routes;
        const Route *route = nullptr;
    };
    using Exchanges = std::list<Exchange>;

    void refuse(CallerConnection &caller, const RequestId &id, int status, const char *reason);
    void startRequest(CallerConnection &caller, CallerConnection::Arrival arrival,
                      const Route &route, const RequestId &id);
    void carryOut(ActiveRequest &request, GatherActions actions);
    void send(ActiveRequest &request, const GatherSend &send);
    void onExchangeEnded(Exchanges::iterator exchange, ExchangeEnd end, HttpReplyMessage reply);
    void recordFailure(const Exchange &exchange, const char *reason, SteadyTime now);
    void recordReply(const Exchange &exchange, const ClassifiedReply &reply, SteadyTime now);
    void finish(ActiveRequest &request, GatherOutcome outcome);
    void detachExchanges(ActiveRequest &request, Duration keepFor);
    void remove(ActiveRequest &request);
    void updateWaiting(ActiveRequest &request);
    void onFreeCapacity(BackendLink &link);
    void dispatchWaiting();
    void cancelExpiredExchanges();
    void updateFleet();
    /// Offers room at `service` again after a while, where cold backend servers could get no more.
    void scheduleColdRetry(const ServiceName &service);
    Gather::Choice choose(const ServiceName &service, const std::vector<BackendServerId> &avoid,
                          SendPurpose purpose, SteadyTime now);
    bool acquireExtraRequest(const ServiceName &service, SteadyTime now);
    SharedRetryBudget &budget(const ServiceName &service);

    event_base *m_loop;
    ForwarderSettings m_settings;
    ForwardMessages m_messages;
    RequestReport m_report;
    RouteTablePtr m_routes;
    BackendListPtr m_backends;
    std::vector<MemberId> m_members;
    BackendFleet m_fleet;
    BackendChooser m_chooser;
    RequestPlanner m_planner;
    Gather::Environment m_environment;
    std::unordered_map<ServiceName, SharedRetryBudget> m_budgets;
    std::unordered_map<CallerConnection *, std::unique_ptr<ActiveRequest>> m_requests;
    Exchanges m_exchanges;
    UrgencyQueue<ActiveRequest> m_waiting;
    std::set<ServiceName> m_servicesWithCapacity;
    Timer m_dispatchTimer;
    /// Looks again where a cold backend server could get no more for the moment.
    Timer m_coldRetryTimer;
    Timer m_expiryTimer;
    /// Requests that have ended; destroyed from the loop, since their own timer may be running.
    std::vector<std::unique_ptr<ActiveRequest>> m_endedRequests;
};

} // namespace pimentoward
