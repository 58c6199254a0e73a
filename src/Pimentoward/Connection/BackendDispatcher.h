#pragma once

#include "Pimentoward/Connection/ColdStart.h"
#include "Pimentoward/Connection/OwnerQueue.h"
#include "Pimentoward/Connection/SlotLimiter.h"
#include "Pimentoward/Core/Reason.h"
#include "Pimentoward/Core/Types.h"
#include "Pimentoward/Request/Messages.h"

#include <optional>
#include <unordered_set>
#include <variant>
#include <vector>

namespace pimentoward {

/// Decisions of the owner of one backend server: which subrequest to dispatch when, which to
/// refuse. Does no input or output. Built of OwnerQueue (who is next), SlotLimiter (who still holds
/// a slot) and ColdStart (how many slots there are at present).
class BackendDispatcher
{
public:
    /// Settings of one dispatcher.
    struct Settings
    {
        /// Requests that the backend server bears at a time when warm.
        int slots = 1;
        /// Subrequests that may wait.
        std::size_t queueLimit = 64;
        /// Requests that it gets at a time when cold.
        int coldLimit = 1;
        /// Multiple of its normal service time above which it is taken for cold.
        double coldFactor = 4;
        /// Time past the deadline after which the backend server has stopped the work for sure.
        Duration grace = std::chrono::milliseconds(200);
        /// Only for tests and benchmarks: false frees a slot when nobody waits for the reply.
        bool needsEndProof = true;
        /// Only for tests and benchmarks: false dispatches up to `slots` also to a cold server.
        bool appliesColdLimit = true;
        /// Only for tests and benchmarks: false lets speed alone end a cold start.
        bool holdsColdBySuccesses = true;
        /// Only for tests and benchmarks: false keeps what can no longer be served in time.
        bool shedsLate = true;
    };

    struct Dispatch
    {
        DispatchToken token = 0;
    };
    struct Refuse
    {
        DispatchToken token = 0;
        Reason reason;
    };
    /// Ask the backend server to stop a dispatched subrequest.
    struct CancelRunning
    {
        DispatchToken token = 0;
    };
    using Action = std::variant<Dispatch, Refuse, CancelRunning>;
    using Actions = std::vector<Action>;

    /// How a dispatched subrequest ended.
    struct Outcome
    {
        ResultCode code = ResultCode::Ok;
        /// Time from the dispatch to the end.
        Duration serviceTime {};
        /// True where the backend server is proved to work on it no longer.
        bool isProved = true;
        /// What the reply states; 0 where it states none.
        Incarnation incarnation = 0;
    };

    explicit BackendDispatcher(const Settings &settings);

    /// Takes new settings; work in flight above a lowered limit ends by itself.
    void updateSettings(const Settings &settings);
    /// Takes a subrequest on; it is dispatched, queued or refused.
    Actions enqueue(DispatchToken token, RequestClass requestClass, SteadyTime deadline,
                    SteadyTime now);
    /// The caller no longer needs the subrequest.
    Actions cancel(DispatchToken token, SteadyTime now);
    /// The backend server has acknowledged that it has stopped the subrequest or had ended it.
    Actions onCancelAcknowledged(DispatchToken token, SteadyTime now);
    /// A dispatched subrequest has ended or its connection has broken.
    Actions onOutcome(DispatchToken token, const Outcome &outcome, SteadyTime now);
    /// To be called at nextTimer().
    Actions onTimer(SteadyTime now);
    /// When onTimer() is next due, if at all.
    std::optional<SteadyTime> nextTimer() const;
    /// Refuses all that wait, as when the backend server leaves or ownership is lost.
    Actions refuseAll(const Reason &reason);
    /// Another owner may have driven the backend server: it counts as cold again.
    void assumeCold() { m_coldStart.onTrouble(); }
    /// State for replies and dumps.
    LoadReport load() const;
    /// Slots in use.
    std::size_t inFlight() const { return m_slots.inUse(); }
    const ColdStart &coldStart() const { return m_coldStart; }

private:
    static ColdStart::Settings coldSettings(const Settings &settings);
    bool hasFreeSlot() const;
    Duration expectedServiceTime() const;
    bool canMakeIt(const OwnerQueue::Entry &entry, SteadyTime now) const;
    void learn(const Outcome &outcome, std::uint64_t generation);
    void dispatch(DispatchToken token, SteadyTime deadline, SteadyTime now, Actions &actions);
    void fill(SteadyTime now, Actions &actions);
    void refuseLate(SteadyTime now, Actions &actions);

    Settings m_settings;
    OwnerQueue m_queue;
    SlotLimiter m_slots;
    ColdStart m_coldStart;
    /// Dispatched subrequests that have been cancelled; each is cancelled once.
    std::unordered_set<DispatchToken> m_cancelled;
};

} // namespace pimentoward
