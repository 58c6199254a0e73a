#pragma once

#include "Pimentoward/Request/GatherTypes.h"

#include <functional>
#include <set>

namespace pimentoward {

/// Decisions of one running request of a caller, whether one service answers it or many shards do:
/// where it is sent, when a part is hedged or sent again, when it is answered and with what. Does
/// no input or output; the caller carries its actions out.
///
/// Load pattern: a straggler among many shards, backend servers that break off, refuse or answer
/// wrongly, and none that has room.
class Gather
{
public:
    /// Where a part can go at present.
    struct Choice
    {
        /// The backend server; empty where none may be used now.
        BackendServerId backend;
        /// True where some are in service, though none has room.
        bool mayBecomeAvailable = false;
    };
    /// Names a backend server of `service`, none of those in `avoid`.
    using ChooseHook = std::function<Choice(const ServiceName &service,
                                            const std::vector<BackendServerId> &avoid,
                                            SendPurpose purpose, SteadyTime now)>;
    /// Takes one extra request to `service` from the shared budget; false where it is used up.
    using AcquireExtraRequestHook = std::function<bool(const ServiceName &service, SteadyTime now)>;

    /// What the request uses besides its plan; outlives it.
    struct Environment
    {
        ChooseHook choose;
        AcquireExtraRequestHook acquireExtraRequest;
    };

    /// Each check may be switched off by tests that show what it prevents.
    struct Checks
    {
        /// What may have run and must not run twice is not sent again.
        bool atMostOnce = true;
        /// A success needs the least coverage.
        bool coverage = true;
        /// "Not run" is said only where nothing can have run.
        bool trueNotRun = true;
        /// Extra requests are taken from the shared budget.
        bool budget = true;
    };

    Gather(GatherPlan plan, const Environment &environment);
    Gather(GatherPlan plan, const Environment &environment, const Checks &checks);

    /// Sends the first attempt of each part.
    GatherActions start(SteadyTime now);
    /// An attempt has ended.
    GatherActions onReply(AttemptNumber attempt, ClassifiedReply reply, SteadyTime now);
    /// Backend servers of `services` have room again.
    GatherActions onFreeCapacity(const std::set<ServiceName> &services, SteadyTime now);
    /// To be called at nextTimer().
    GatherActions onTimer(SteadyTime now);
    SteadyTime nextTimer() const;
    bool isFinished() const { return m_isFinished; }
    /// True while a part waits for room at its backend servers.
    bool isWaiting() const;

private:
    struct Part
    {
        /// The reply that counts.
        std::optional<ClassifiedReply> answer;
        /// The best failure to hand on where no answer comes.
        std::optional<HttpReplyMessage> failure;
        std::vector<BackendServerId> tried;
        /// Attempts that have not ended.
        unsigned inFlight = 0;
        /// Attempts that run, have run or may have run.
        unsigned possibleRuns = 0;
        unsigned sends = 0;
        bool isWaiting = false;
        /// No further attempt is made.
        bool isGivenUp = false;
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
    bool canAttemptAgain(const Part &part) const;
    bool isSettled(const Part &part) const;
    bool mayHaveRun() const;
    std::size_t answeredParts() const;
    std::string missingServices() const;
    bool hasMinCoverage() const;
    bool canReachMinCoverage() const;
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
    GatherOutcome m_progress;
    bool m_isFinished = false;
};

} // namespace pimentoward
