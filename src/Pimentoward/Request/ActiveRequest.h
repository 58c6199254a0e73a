#pragma once

#include "Pimentoward/Connection/CallerConnection.h"
#include "Pimentoward/Process/Timer.h"
#include "Pimentoward/Request/Gather.h"
#include "Pimentoward/Request/RequestPlanner.h"
#include "Pimentoward/Version/RouteTable.h"

#include <functional>
#include <string>

namespace pimentoward {

/// A caller's request while it runs: what it asked, the settings version that it keeps, and its
/// decisions.
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

    CallerConnection *caller = nullptr;
    /// Keeps `route` alive.
    RouteTablePtr routes;
    const Route *route = nullptr;
    RequestId id;
    std::string method;
    /// First line and header fields as they go to every backend server.
    std::string head;
    std::string body;
    SteadyTime readAt {};
    const SteadyTime deadline;
    const Duration hedgeDelay;
    /// The usual time of one part, by which replies are compared.
    const Duration medianTime;
    /// Its place among those that wait for room.
    const Urgency urgency;
    Gather gather;
    Timer timer;
};

} // namespace pimentoward
