#pragma once

#include "standins/CallerReport.h"
#include "standins/LoadPlan.h"

#include <functional>
#include <vector>

struct event_base;

namespace pimentoward::standins {

/// Sends the requests of a plan at their times and collects what came of them.
class LoadRunner
{
public:
    using DoneHook = std::function<void(const LoadOutcome &)>;
    using SendHook = std::function<void(const PlannedRequest &, DoneHook)>;

    /// Something to do at a time after the start, such as stopping a process.
    struct Step
    {
        Duration at {};
        std::function<void()> action;
    };

    /// Runs the loop until every request has ended; each must end by its own deadline.
    static std::vector<LoadSample> run(event_base *loop, const std::vector<PlannedRequest> &plan,
                                       const SendHook &send, const std::vector<Step> &steps = {});
};

} // namespace pimentoward::standins
