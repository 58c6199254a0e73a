#pragma once

#include "standins/CallerReport.h"
#include "standins/LoadPlan.h"

#include <functional>
#include <vector>

struct event_base;

namespace pimentoward::standins {

/// Sends the requests of a plan at their intended times and collects the outcomes.
class LoadRunner
{
public:
    /// Called once when a request has ended.
    using DoneHook = std::function<void(const LoadOutcome &)>;
    /// Sends one request and calls the hook when it has ended.
    using SendHook = std::function<void(const PlannedRequest &, DoneHook)>;

    /// An action at a time after the start of the load, such as stopping a process.
    struct Step
    {
        Duration at {};
        std::function<void()> action;
    };

    /// Runs the event loop until every request has ended. There is no time limit, so `send` must
    /// end every request, for instance at its deadline.
    static std::vector<LoadSample> run(event_base *loop, const std::vector<PlannedRequest> &plan,
                                       const SendHook &send, const std::vector<Step> &steps = {});
};

} // namespace pimentoward::standins
