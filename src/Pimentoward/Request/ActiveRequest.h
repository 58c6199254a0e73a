#pragma once

#include "Pimentoward/Connection/CallerConnection.h"
#include "Pimentoward/Process/Timer.h"
#include "Pimentoward/Request/CallerIdentity.h"
#include "Pimentoward/Request/Gather.h"
#include "Pimentoward/Request/RequestPlanner.h"
#include "Pimentoward/Version/RouteTable.h"

#include <algorithm>
#include <functional>
#include <string>

namespace pimentoward {

/// A caller's request that has not been answered yet: its content, the revision of the settings
/// that it uses until it ends, and the Gather that makes its decisions.
struct ActiveRequest
{
    ActiveRequest(event_base *loop, const RequestPlan &plan, const Gather::Environment &environment,
                  const Gather::Checks &checks, std::function<void()> onTimer)
        : deadline(plan.gather.deadline)
        , hedgeDelay(plan.gather.hedgeDelay)
        , medianTime(plan.medianTime)
        , urgency(plan.urgency)
        , gather(plan.gather, environment, checks)
        , timer(loop, std::move(onTimer))
    { }

    /// Ends the request at `time` if it would run longer.
    void endBy(SteadyTime time)
    {
        deadline = std::min(deadline, time);
        gather.endBy(time);
    }

    CallerConnection *caller = nullptr;
    /// The routes that were in force when the request was read; owns `route`.
    RouteTablePtr routes;
    const Route *route = nullptr;
    /// Who sent the request; its workspace belongs to `routes`.
    CallerIdentity identity;
    RequestId id;
    std::string method;
    /// Request line and header fields, in the form that is sent to every backend server.
    std::string head;
    std::string body;
    SteadyTime readAt {};
    SteadyTime deadline;
    const Duration hedgeDelay;
    /// Median time of one part on this route; reply times are compared with it.
    const Duration medianTime;
    /// Determines the position of the request in the queue for free capacity.
    const Urgency urgency;
    Gather gather;
    Timer timer;
};

} // namespace pimentoward
