#pragma once

#include "Pimentoward/Core/Reason.h"
#include "Pimentoward/Core/Types.h"
#include "Pimentoward/Request/Messages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace pimentoward {

/// Names one subrequest within its owner.
using DispatchToken = std::uint64_t;

/// Decisions of the owner of one backend server: which subrequest to dispatch when, which to
/// refuse. Does no input or output.
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
        Duration serviceTime {};
        /// True where the backend server is proved to work on it no longer.
        bool isProved = true;
    };

    explicit BackendDispatcher(const Settings &settings);

    /// Takes a subrequest on; it is dispatched, queued or refused.
    Actions enqueue(DispatchToken token, RequestClass requestClass, SteadyTime deadline,
                    SteadyTime now);
    /// The caller no longer needs the subrequest.
    Actions cancel(DispatchToken token, SteadyTime now);
    /// A dispatched subrequest has ended or its connection has broken.
    Actions onOutcome(DispatchToken token, const Outcome &outcome, SteadyTime now);
    /// To be called at nextTimer().
    Actions onTimer(SteadyTime now);
    /// When onTimer() is next due, if at all.
    std::optional<SteadyTime> nextTimer() const;
    /// Refuses all that wait, as when the backend server leaves or ownership is lost.
    Actions refuseAll(const Reason &reason);
    /// State for replies and dumps.
    LoadReport load() const;
    std::size_t inFlight() const { return m_inFlight.size(); }

private:
    struct Waiting
    {
        DispatchToken token;
        SteadyTime deadline;
    };

    Actions fill(SteadyTime now);

    Settings m_settings;
    std::deque<Waiting> m_queue;
    std::map<DispatchToken, SteadyTime> m_inFlight;
};

} // namespace pimentoward
