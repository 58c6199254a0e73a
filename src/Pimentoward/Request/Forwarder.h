#pragma once

#include "Pimentoward/Connection/BackendFleet.h"
#include "Pimentoward/Connection/CallerConnection.h"
#include "Pimentoward/Connection/HeaderNames.h"
#include "Pimentoward/Connection/HealthChecker.h"
#include "Pimentoward/Request/ActiveRequest.h"
#include "Pimentoward/Request/BackendSelector.h"
#include "Pimentoward/Request/ForwardMessages.h"
#include "Pimentoward/Request/RequestAdmission.h"
#include "Pimentoward/Request/RequestPlanner.h"
#include "Pimentoward/Request/RequestReport.h"
#include "Pimentoward/Request/SharedRetryBudget.h"

#include <list>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace pimentoward {

/// Each check can be disabled by tests that show which failure it prevents.
struct ForwarderChecks
{
    Gather::Checks gather;
    /// Requires that a reply carries the ID of the request that it answers.
    bool replyIdentity = true;
    /// States in each request which backend server it is meant for, so that another server at the
    /// same address refuses it.
    bool expectedBackend = true;
    /// Cancels the work for a caller that has closed its connection, after `callerGoneTime`.
    bool callerGone = true;
    /// Sends no further requests to an address that now belongs to another backend server.
    bool misdirected = true;
    /// Sends no new requests to backend servers that are out of service.
    bool outOfService = true;
    /// Sends no new requests to backend servers that state in a reply that they are leaving.
    bool leavingReplies = true;
    /// Sends no requests to a backend server during the pause that it has asked for.
    bool requestedPauses = true;
    /// Limits the request rate of cold backend servers to what they can handle.
    bool coldLimit = true;
    /// Asks backend servers whether they are cold while their records may be outdated.
    bool healthChecks = true;
    /// States in each request how long the caller still waits when the request is sent. Without
    /// this, the stated time is the one that was left when the caller's request was read.
    bool timeLeft = true;
    /// Refuses requests with status 503 until settings and backend servers are known. Without this,
    /// requests that arrive before the settings are refused with status 404.
    bool settingsFirst = true;
};

/// Settings of a Forwarder.
struct ForwarderSettings
{
    HeaderNames headers;
    /// Failure domain of this VM.
    FailureDomain failureDomain;
    SharedRetryBudget::Settings retryBudget;
    BackendFleet::Settings fleet;
    BackendChooser::Settings chooser;
    RequestPlanner::Settings plans;
    /// How long an exchange with a backend server may continue after its request was answered.
    /// Waiting for the late reply keeps the connection usable.
    Duration lateReplyTime = std::chrono::milliseconds(400);
    /// How long an exchange may continue after the caller has closed its connection.
    Duration callerGoneTime = std::chrono::milliseconds(250);
    RolloutTraffic::Settings rollouts;
    ForwarderChecks checks;
};

/// Forwards callers' requests to backend servers and the answers back to the callers. The decisions
/// are made by Gather, RequestPlanner and BackendChooser; this class performs the I/O for them.
/// Must be used from one task only.
class Forwarder
{
public:
    Forwarder(event_base *loop, const ForwarderSettings &settings, Metrics &metrics);
    ~Forwarder();
    Forwarder(const Forwarder &) = delete;
    Forwarder &operator=(const Forwarder &) = delete;

    /// Applies the routes of another revision of the settings. Running requests keep the routes
    /// that they started with.
    void changeRoutes(RouteTablePtr routes);
    /// Applies another list of the backend servers that are in service.
    void changeBackends(BackendListPtr backends);
    /// Sets the VMs, including this one, among which the capacity of backend servers and services
    /// is divided.
    void changeMembers(std::vector<MemberId> members);
    /// Tells whether the backend servers' records may be outdated because nothing has been heard
    /// from the store.
    void changeRecordsOutdated(bool areOutdated);
    /// Applies changed settings of the limits that all VMs share.
    void changeSharedLimits(const SharedRetryBudget::Settings &retries,
                            const ColdLimit::Settings &cold);

    /// Sets who decides which requests of workspaces may run within their rate limits; it must
    /// outlive this object. Without it the limits are not enforced.
    void changeAdmission(RequestAdmission *admission) { m_admission = admission; }

    /// Applies changed roll-outs.
    void changeRollouts(RolloutTablePtr rollouts);
    /// This VM's reports on roll-outs that have changed since they were last taken.
    std::vector<RolloutReport> takeRolloutReports() { return m_rolloutTraffic.takeReports(); }

    /// Sets the time by which this VM answers all requests because it stops. Running requests end
    /// then, and new ones that cannot be answered by then are refused.
    void changeLastAnswerTime(SteadyTime time);

    /// Starts the request that `caller` has sent, or refuses it.
    void onRequest(CallerConnection &caller, CallerConnection::Arrival arrival);
    /// Ends the request of a caller that has closed its connection.
    void onCallerGone(CallerConnection &caller);
    /// Reports each running request as cut, because the process ends.
    void reportCutRequests();
    /// Number of requests that have not been answered yet.
    std::size_t running() const { return m_requests.size() + m_undecided.size(); }
    /// True once both the settings and the backend servers are known.
    bool canServe() const { return m_routes != nullptr && m_backends != nullptr; }
    const BackendFleet &fleet() const { return m_fleet; }

private:
    /// One attempt at one backend server.
    struct Exchange
    {
        /// Null once the request has ended.
        ActiveRequest *request = nullptr;
        AttemptNumber attempt = 0;
        BackendLink *link = nullptr;
        BackendConnection *connection = nullptr;
        /// The number that BackendHealth has assigned to this attempt.
        unsigned healthNumber = 0;
        SteadyTime sentAt {};
        Duration medianTime {};
        /// When the exchange is cancelled; set once its request has ended.
        SteadyTime expiresAt {};
        /// The route whose latencies the reply time is added to, and the table that owns it.
        RouteTablePtr routes;
        const Route *route = nullptr;
    };
    using Exchanges = std::list<Exchange>;
    /// The answer to a request that is not started.
    struct Refusal
    {
        int status = 0;
        /// Text for the log.
        const char *reason = "";
        /// When the caller may send the request again.
        std::optional<Duration> retryAfter;
    };

    /// A request that waits for the decision whether its workspace's limit has room for it.
    struct Undecided
    {
        std::uint64_t number = 0;
        CallerConnection *caller = nullptr;
        CallerConnection::Arrival arrival;
        RouteTablePtr routes;
        const Route *route = nullptr;
        CallerIdentity identity;
        RequestId id;
    };

    /// Starts a request at once, or after the decision on its workspace's limit.
    void admit(Undecided request);
    void onDecision(std::uint64_t number, const RequestAdmission::Decision &decision);
    /// Refuses the requests that still wait although later settings do not know their keys.
    void refuseUnknownCallers();
    void refuse(CallerConnection &caller, const RequestId &id, const Refusal &refusal);
    void startRequest(Undecided arrived);
    void carryOut(ActiveRequest &request, GatherActions actions);
    /// Starts the timer for the next decision of the request.
    static void startTimer(ActiveRequest &request);
    void send(ActiveRequest &request, const GatherSend &send);
    void onExchangeEnded(Exchanges::iterator position, ExchangeOutcome outcome,
                         HttpReplyMessage reply);
    void onBackendCold(BackendLink &link, Duration coldLeft);
    void recordFailure(const Exchange &exchange, const char *reason, SteadyTime now);
    void recordReply(const Exchange &exchange, const ClassifiedReply &reply, SteadyTime now);
    /// Counts how an attempt has ended for the roll-out of its service, if there is one.
    void countForRollout(const Exchange &exchange, ReplyKind kind, SteadyTime now);
    void finish(ActiveRequest &request, GatherOutcome outcome);
    /// Separates the running exchanges of an ended request from it. They may continue for
    /// `keepFor`.
    void detachExchanges(ActiveRequest &request, Duration keepFor);
    void remove(ActiveRequest &request);
    void updateWaiting(ActiveRequest &request);
    void onFreeCapacity(BackendLink &link);
    void dispatchWaiting();
    void cancelExpiredExchanges();
    void updateFleet();
    /// Checks the requests that wait for `service` again at `time`.
    void scheduleRetry(const ServiceName &service, SteadyTime time);
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
    HealthChecker m_healthChecker;
    RolloutTablePtr m_rollouts = std::make_shared<const RolloutTable>();
    RolloutTraffic m_rolloutTraffic;
    BackendSelector m_selector;
    RequestPlanner m_planner;
    Gather::Environment m_environment;
    std::unordered_map<ServiceName, SharedRetryBudget> m_budgets;
    std::unordered_map<CallerConnection *, std::unique_ptr<ActiveRequest>> m_requests;
    RequestAdmission *m_admission = nullptr;
    std::list<Undecided> m_undecided;
    std::uint64_t m_lastUndecided = 0;
    Exchanges m_exchanges;
    UrgencyQueue<ActiveRequest> m_waiting;
    /// Services that have had free capacity since waiting requests were last dispatched.
    std::set<ServiceName> m_servicesWithCapacity;
    Timer m_dispatchTimer;
    Timer m_retryTimer;
    /// When m_retryTimer runs, if it is pending.
    SteadyTime m_retryAt {};
    Timer m_expiryTimer;
    /// Requests that have ended. They are destroyed later from the event loop, because they may end
    /// within the callback of their own timer.
    std::vector<std::unique_ptr<ActiveRequest>> m_endedRequests;
};

} // namespace pimentoward
