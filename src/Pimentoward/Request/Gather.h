#pragma once

#include "Pimentoward/Request/GatherTypes.h"

#include <functional>
#include <set>

namespace pimentoward {

/// Makes the decisions for one running request of a caller, which is answered by one service or by
/// many shards: where each part is sent, when a part is hedged or retried, and when the request is
/// answered and with what. Performs no I/O; the owner carries out the actions that it returns.
///
/// Load pattern: one of many shards is a straggler; backend servers close connections, refuse
/// requests or send invalid replies; no backend server has free capacity.
class Gather
{
public:
    /// Where a part can be sent now.
    struct Choice
    {
        /// The chosen backend server; empty if none can be used now.
        BackendServerId backend;
        /// True if backend servers are in service, so that one may have free capacity later.
        bool mayBecomeAvailable = false;
        /// When the first backend server accepts requests again; set if all that are in service
        /// have asked for a pause.
        std::optional<SteadyTime> pausedUntil;
    };
    /// Chooses a backend server of `service` that is not in `avoid`.
    using ChooseHook = std::function<Choice(const ServiceName &service,
                                            const std::vector<BackendServerId> &avoid,
                                            SendPurpose purpose, SteadyTime now)>;
    /// Acquires one extra request (hedge or retry) to `service` from the shared retry budget; false
    /// if the budget is used up.
    using AcquireExtraRequestHook = std::function<bool(const ServiceName &service, SteadyTime now)>;

    /// Hooks that a Gather calls. They must outlive it.
    struct Environment
    {
        ChooseHook choose;
        AcquireExtraRequestHook acquireExtraRequest;
    };

    /// Each check can be disabled by tests that show which failure it prevents.
    struct Checks
    {
        /// Does not resend a part that may have run already, unless the request is idempotent.
        bool atMostOnce = true;
        /// Requires the minimum coverage for a successful answer.
        bool coverage = true;
        /// Reports "not run" only if no attempt can have run.
        bool trueNotRun = true;
        /// Acquires hedges and retries from the shared retry budget.
        bool budget = true;
    };

    Gather(GatherPlan plan, const Environment &environment);
    Gather(GatherPlan plan, const Environment &environment, const Checks &checks);

    /// Sends the first attempt of each part.
    GatherActions start(SteadyTime now);
    /// Handles the end of the attempt with this number.
    GatherActions onReply(AttemptNumber number, ClassifiedReply reply, SteadyTime now);
    /// Sends the waiting parts of `services`, which have free capacity again.
    GatherActions onFreeCapacity(const std::set<ServiceName> &services, SteadyTime now);
    /// Sends the hedges that are due, or ends the request. Must be called at the time given by
    /// nextTimer().
    GatherActions onTimer(SteadyTime now);
    /// Ends the request at `time` if it would run longer. nextTimer() may change.
    void endBy(SteadyTime time) { m_plan.endBy(time); }
    /// The time at which a decision is due even if no reply arrives.
    SteadyTime nextTimer() const;
    /// True if no attempt has been sent yet.
    bool isUnsent() const { return m_attempts.empty(); }
    bool isFinished() const { return m_isFinished; }
    /// True while a part waits for free capacity at its backend servers.
    bool isWaiting() const;

private:
    struct Part
    {
        /// The first successful reply.
        std::optional<ClassifiedReply> answer;
        /// The latest reply that reported a failure; forwarded to the caller if no attempt
        /// succeeds.
        std::optional<HttpReplyMessage> failure;
        /// Backend servers that the part has been sent to.
        std::vector<BackendServerId> tried;
        /// Number of attempts that have not ended.
        unsigned inFlight = 0;
        /// Number of attempts that are running, have run or may have run.
        unsigned possibleRuns = 0;
        /// Number of attempts sent so far.
        unsigned sends = 0;
        /// True while the next attempt waits for a backend server that can take it.
        bool isWaiting = false;
        /// True if no further attempt will be made.
        bool isGivenUp = false;
        /// When a backend server of the part accepts requests again, if that is why the part was
        /// given up.
        std::optional<SteadyTime> pausedUntil;
        /// When the part is hedged, unless it is answered before that.
        std::optional<SteadyTime> hedgeAt;
    };
    struct Attempt
    {
        std::size_t part = 0;
        BackendServerId backend;
        bool isInFlight = false;
    };

    void sendFirst(std::size_t index, SteadyTime now, GatherActions &actions);
    void send(std::size_t index, const BackendServerId &backend, SendPurpose purpose,
              SteadyTime now, GatherActions &actions);
    void hedge(std::size_t index, SteadyTime now, GatherActions &actions);
    void retry(std::size_t index, SteadyTime now, GatherActions &actions);
    /// Waits for a backend server to send a part to, or gives the part up if none can take it in
    /// time.
    void waitOrGiveUp(Part &part, const Choice &choice, SteadyTime now);
    /// Takes back the attempts that start() has prepared and that have not been sent.
    void withdrawAttempts(GatherActions &actions);
    /// Gives up the repeated attempts that still wait when no backend server could take them in
    /// time.
    void giveUpLateRetries(SteadyTime now);
    bool canAttemptAgain(const Part &part) const;
    /// True if the part has an answer or can no longer get one.
    bool isDone(const Part &part) const;
    bool mayHaveRun() const;
    std::size_t answeredParts() const;
    std::string missingServices() const;
    bool hasMinCoverage() const;
    bool canReachMinCoverage() const;
    /// Minimum number of parts in a successful answer.
    std::size_t neededParts() const;
    /// Number of parts that are done without an answer.
    std::size_t failedParts() const;
    /// True if the request ends now, so that nothing more may be sent.
    bool isEndDue(SteadyTime now) const;
    /// How long the caller should wait before it sends the request again.
    Duration retryDelay(SteadyTime now) const;
    /// Appends the final action to `actions` if the request ends now.
    GatherActions finishIfDone(GatherActions actions, SteadyTime now);
    void finish(GatherActions &actions, SteadyTime now);
    void setMergedAnswer(GatherOutcome &outcome) const;
    HttpReplyMessage failureReply(Reason &reason, SteadyTime now) const;
    void setSingleAnswer(GatherOutcome &outcome, SteadyTime now);

    GatherPlan m_plan;
    const Environment &m_environment;
    Checks m_checks;
    std::vector<Part> m_parts;
    std::vector<Attempt> m_attempts;
    /// Counts and the last failure, updated while the request runs.
    GatherOutcome m_progress;
    bool m_isFinished = false;
};

} // namespace pimentoward
