#include "Pimentoward/Request/ScatterGather.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cassert>

namespace pimentoward {

ScatterGather::ScatterGather(QueryPlan plan)
    : m_plan(std::move(plan))
    , m_shards(m_plan.shards.size())
{ }

ScatterGather::Actions ScatterGather::start(SteadyTime)
{
    Actions actions;
    for (std::size_t index = 0; index < m_shards.size(); ++index) {
        if (const auto item = nextReplica(index)) {
            actions.push_back(Send {*item});
        }
    }
    return allSettled() ? finish() : actions;
}

ScatterGather::Actions ScatterGather::onSubreply(const Subreply &reply, SteadyTime now)
{
    const auto index = shardOf(reply);
    if (m_finished || !index || !isWellFormed(reply)) {
        ++m_discarded;
        return {};
    }
    ShardState &shard = m_shards[*index];
    auto &inFlight = shard.inFlight;
    inFlight.erase(std::remove_if(inFlight.begin(), inFlight.end(),
                                  [&](const auto &item) { return item.number == reply.number; }),
                   inFlight.end());
    Actions actions;
    if (reply.code == ResultCode::Ok) {
        shard.answered = true;
        shard.body = reply.body;
        // Other replicas still at work for this shard are no longer needed.
        for (const SubrequestItem &item : inFlight) {
            actions.push_back(Cancel {item});
        }
        inFlight.clear();
    } else {
        shard.lastFailure = {reply.code, reply.detail};
        // A failed shard tries its next replica while there is time.
        if (const auto item = now < m_plan.deadline ? nextReplica(*index) : std::nullopt) {
            actions.push_back(Send {*item});
        }
    }
    if (allSettled()) {
        for (Action &action : finish()) {
            actions.push_back(std::move(action));
        }
    }
    return actions;
}

ScatterGather::Actions ScatterGather::onTimer(SteadyTime now)
{
    if (m_finished || now < m_plan.deadline) {
        return {};
    }
    return finish();
}

std::optional<SubrequestItem> ScatterGather::nextReplica(std::size_t shardIndex)
{
    ShardState &state = m_shards[shardIndex];
    const Shard &shard = m_plan.shards[shardIndex];
    if (state.replicasTried >= shard.replicas.size()) {
        return std::nullopt;
    }
    SubrequestItem item {m_nextNumber++, shard.name, shard.replicas[state.replicasTried]};
    ++state.replicasTried;
    state.inFlight.push_back(item);
    return item;
}

std::optional<std::size_t> ScatterGather::shardOf(const Subreply &reply) const
{
    if (reply.requestId != m_plan.requestId) {
        return std::nullopt;
    }
    for (std::size_t index = 0; index < m_shards.size(); ++index) {
        for (const SubrequestItem &item : m_shards[index].inFlight) {
            if (item.number == reply.number && item.shard == reply.shard
                && item.backendServer == reply.backendServer) {
                return index;
            }
        }
    }
    return std::nullopt;
}

bool ScatterGather::isWellFormed(const Subreply &reply) const
{
    if (reply.code != ResultCode::Ok) {
        return true;
    }
    return reply.version == m_plan.version && nlohmann::json::accept(reply.body);
}

bool ScatterGather::allSettled() const
{
    return std::all_of(m_shards.begin(), m_shards.end(), [](const ShardState &shard) {
        return shard.answered || shard.inFlight.empty();
    });
}

ScatterGather::Actions ScatterGather::finish()
{
    assert(!m_finished);
    m_finished = true;
    Actions actions;
    QueryAnswer answer;
    answer.requestId = m_plan.requestId;
    answer.version = m_plan.version;
    std::uint64_t wanted = 0;
    std::uint64_t covered = 0;
    for (std::size_t index = 0; index < m_shards.size(); ++index) {
        const Shard &shard = m_plan.shards[index];
        ShardState &state = m_shards[index];
        wanted += shard.range.size();
        if (state.answered) {
            covered += shard.range.size();
            answer.recordArrays.push_back(std::move(state.body));
            continue;
        }
        answer.missingShards.push_back(shard.name);
        answer.outcome = state.inFlight.empty()
            ? state.lastFailure
            : Reason {ResultCode::DeadlineExceeded, "no answer came before the deadline"};
        for (const SubrequestItem &item : state.inFlight) {
            actions.push_back(Cancel {item});
        }
    }
    answer.coverage = wanted == 0 ? 0 : static_cast<double>(covered) / static_cast<double>(wanted);
    const bool isPartial = covered > 0 && covered < wanted;
    const bool isEnough = !m_plan.coverageFirst || answer.coverage >= m_plan.coverageTarget;
    if (isPartial && isEnough) {
        answer.outcome = {ResultCode::PartialCoverage, answer.outcome.text};
    }
    if (!isEnough) {
        answer.recordArrays.clear();
    }
    actions.push_back(Finish {std::move(answer)});
    return actions;
}

} // namespace pimentoward
