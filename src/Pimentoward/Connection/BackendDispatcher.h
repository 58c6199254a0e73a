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

/// Makes the owner's decisions for one backend server: which subrequests to dispatch, when, and
/// which to refuse. Performs no I/O. Uses OwnerQueue (the order of waiting subrequests),
/// SlotLimiter (the slots in use) and ColdStart (the current number of slots).
class BackendDispatcher
{
public:
    /// Settings of one dispatcher.
    struct Settings
    {
        /// Maximum number of subrequests that a warm backend server gets at a time.
        int slots = 1;
        /// Maximum number of waiting subrequests.
        std::size_t queueLimit = 64;
        /// Maximum number of subrequests that a cold backend server gets at a time.
        int coldLimit = 1;
        /// A service time above this multiple of the normal one is a sign of a cold server.
        double coldFactor = 4;
        /// The backend server has certainly stopped the work this long after the deadline.
        Duration grace = std::chrono::milliseconds(200);
        /// Keeps the slot of a cancelled or lost subrequest until its work has provably ended, or
        /// its deadline and grace period have passed. Set to false only in tests and benchmarks.
        bool needsEndProof = true;
        /// Limits a cold server to `coldLimit` subrequests at a time. If false, a cold server gets
        /// up to `slots` subrequests. Set to false only in tests and benchmarks.
        bool appliesColdLimit = true;
        /// Requires a minimum number of successes before a confirmed cold start (a new incarnation
        /// or a refusal) can end. If false, normal service times alone end it. Set to false only in
        /// tests and benchmarks.
        bool requiresColdSuccesses = true;
        /// Refuses subrequests that can no longer finish before their deadlines. If false, they
        /// stay queued. Set to false only in tests and benchmarks.
        bool refusesLate = true;
    };

    /// Asks for a waiting subrequest to be sent to the backend server.
    struct Dispatch
    {
        DispatchToken token = 0;
    };
    /// Asks for a reply to a subrequest that has not been dispatched and will not be.
    struct Refuse
    {
        DispatchToken token = 0;
        Reason reason;
    };
    /// Asks for a cancel to be sent to the backend server for a dispatched subrequest.
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
        /// Time from sending the subrequest to the backend server until its end.
        Duration serviceTime {};
        /// True if it is proved that the backend server no longer works on the subrequest.
        bool isEndProved = true;
        /// The incarnation given in the reply, or 0 if there is none.
        Incarnation incarnation = 0;
    };

    explicit BackendDispatcher(const Settings &settings);

    /// Applies new settings. If a limit was lowered, work in flight above it runs to its end.
    void updateSettings(const Settings &settings);
    /// Accepts a subrequest, which is dispatched, queued or refused.
    Actions enqueue(DispatchToken token, RequestClass requestClass, SteadyTime deadline,
                    SteadyTime now);
    /// To be called when the result of a subrequest is no longer needed.
    Actions cancel(DispatchToken token, SteadyTime now);
    /// To be called when the backend server has acknowledged a cancel: the work has ended.
    Actions onCancelAcknowledged(DispatchToken token, SteadyTime now);
    /// To be called when a dispatched subrequest has ended or its connection has broken.
    Actions onOutcome(DispatchToken token, const Outcome &outcome, SteadyTime now);
    /// To be called at the time that nextTimer() returns.
    Actions onTimer(SteadyTime now);
    /// Returns when onTimer() must be called next, or nothing if no call is needed.
    std::optional<SteadyTime> nextTimer() const;
    /// Refuses all waiting subrequests, for example because the backend server is leaving or
    /// ownership is lost.
    Actions refuseAll(const Reason &reason);
    /// Treats the backend server as cold, for example because another owner may have used it in the
    /// meantime.
    void assumeCold() { m_coldStart.onCommunicationFailure(); }
    /// Returns the current load, for replies and for the dump of the state.
    LoadReport load() const;
    /// Returns the number of slots in use.
    std::size_t inFlight() const { return m_slots.inUse(); }
    const ColdStart &coldStart() const { return m_coldStart; }

private:
    static ColdStart::Settings coldStartSettings(const Settings &settings);
    bool hasFreeSlot() const;
    Duration expectedServiceTime() const;
    bool canMeetDeadline(const OwnerQueue::Entry &entry, SteadyTime now) const;
    void recordOutcome(const Outcome &outcome, std::uint64_t generation);
    void dispatch(DispatchToken token, SteadyTime deadline, SteadyTime now, Actions &actions);
    void dispatchWaiting(SteadyTime now, Actions &actions);
    void refuseLate(SteadyTime now, Actions &actions);

    Settings m_settings;
    OwnerQueue m_queue;
    SlotLimiter m_slots;
    ColdStart m_coldStart;
    /// Dispatched subrequests that have been cancelled, so that each is cancelled only once.
    std::unordered_set<DispatchToken> m_cancelled;
};

} // namespace pimentoward
