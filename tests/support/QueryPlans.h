#pragma once

#include "Pimentoward/Request/ScatterGather.h"

#include "Pimentoward/Version/ServiceCatalog.h"

#include <random>
#include <string>

namespace pimentoward::tests {

/// Returns a plan with `count` shards of equal size and two replicas each. Shard "s0" has the
/// replicas "s0-0" and "s0-1", and so on.
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

/// Adds an index version with the `count` shards of makePlan(), and their backend servers. The
/// first replica of each shard is in failure domain "a", the second in "b".
inline void addVersion(ServiceCatalog &catalog, IndexVersion version, std::size_t count,
                       WallTime release)
{
    Reason reason;
    const std::vector<Shard> shards = makePlan(count, SteadyTime()).shards;
    for (const Shard &shard : shards) {
        for (std::size_t replica = 0; replica < shard.replicas.size(); ++replica) {
            BackendServer server;
            server.id = shard.replicas[replica];
            server.address = {"127.0.0.1", 9};
            server.failureDomain = replica == 0 ? "a" : "b";
            catalog.backendServers[server.id] = server;
        }
    }
    auto map = ShardMap::build(shards, reason);
    catalog.versions.push_back(
        {version, release, false, std::make_shared<const ShardMap>(std::move(*map))});
}

/// Returns the text with one to four random changes. Each replaces a byte, removes up to eight
/// bytes, inserts a copy of up to seven bytes, or sometimes cuts off the rest of the text.
inline std::string mutated(std::string text, std::mt19937 &random)
{
    const unsigned changes = 1 + random() % 4;
    for (unsigned change = 0; change < changes && !text.empty(); ++change) {
        const std::size_t position = random() % text.size();
        switch (random() % 5) {
        case 0:
            text[position] = static_cast<char>(random());
            break;
        case 1:
            text.erase(position, 1 + random() % 8);
            break;
        case 2:
            text.insert(position, text.substr(random() % text.size(), random() % 8));
            break;
        case 3:
            text[position] = "0123456789-\"{}[],.e"[random() % 19];
            break;
        default:
            text.resize(random() % 8 == 0 ? position : text.size());
        }
    }
    return text;
}

/// The objects that a ScatterGather needs. Replicas are chosen in the order of the shard map.
struct ScatterGatherFixture
{
    HedgePolicy policy;
    ReplicaChooser chooser {{std::chrono::seconds(1), std::chrono::milliseconds(2),
                             std::chrono::seconds(5), false, true, true, 1}};
    ScatterGather::Environment environment {
        policy,
        [this](const Shard &shard, const std::vector<BackendServerId> &avoid,
               ReplicaChooser::Purpose purpose, SteadyTime now) {
            return chooser.choose(shard, avoid, purpose, now, [](const BackendServerId &) {
                return ReplicaChooser::ServerStatus();
            });
        },
        {},
        {}};
};

} // namespace pimentoward::tests
