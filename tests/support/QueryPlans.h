#pragma once

#include "Pimentoward/Request/QueryPlan.h"

#include <string>

namespace pimentoward::tests {

/// A plan of `count` equal shards with two replicas each: "s0" on "s0-0" and "s0-1", and so on.
inline QueryPlan makePlan(std::size_t count, SteadyTime deadline)
{
    QueryPlan plan;
    plan.requestId = "request";
    plan.service = "service";
    plan.version = 7;
    plan.deadline = deadline;
    for (std::size_t index = 0; index < count; ++index) {
        const std::string name = "s" + std::to_string(index);
        plan.shards.push_back(
            {name,
             {KeyRange::keySpaceSize * index / count, KeyRange::keySpaceSize * (index + 1) / count},
             {name + "-0", name + "-1"}});
    }
    return plan;
}

} // namespace pimentoward::tests
