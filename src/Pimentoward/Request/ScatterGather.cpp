#include "Pimentoward/Request/ScatterGather.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cassert>

namespace pimentoward {

namespace {

/// Number of failed rounds after which a time-first query gives a shard up. This limit does not
/// apply to a coverage-first query, or while the owner of a backend server is changing.
constexpr unsigned maxRounds = 6;
/// Number of times that a query may restart on another index version.
constexpr unsigned maxRestarts = 3;

/// True if the result code proves that no backend server ran the subrequest: it reached none, or
/// the backend server refused it. Sending it to another replica then adds no load.
bool provesNotRun(ResultCode code)
{
    return promisesNotRun(code) || code == ResultCode::PeerUnreachable
        || code == ResultCode::VersionGone;
}

/// True if a VM refused the subrequest because the ownership of the backend server is changing. No
/// backend server had any load from it, and the next owner is known within seconds.
bool isOwnerChanging(ResultCode code)
{
    return code == ResultCode::NotRunNotOwner || code == ResultCode::NotRunNoContact;
}

} // namespace

ScatterGather::ScatterGather(QueryPlan plan, const Environment &environment)
    : m_plan(std::move(plan))
    , m_environment(environment)
    , m_shards(m_plan.shards.size())
    , m_nextTimer(m_plan.answerBy())
{ }

ScatterGather::Actions ScatterGather::start(SteadyTime now)
{
    Actions actions;
    sendAll(Purpose::Primary, now, actions);
    return finishOrSetTimer(std::move(actions), now);
}

ScatterGather::Actions ScatterGather::onSubreply(Subreply reply, SteadyTime now)
{
    const auto index = m_finished ? std::nullopt : shardOf(reply);
    if (!index || !isWellFormed(reply)) {
        ++m_discarded;
        return {};
    }
    ShardState &state = m_shards[*index];
    const auto subrequest = std::find_if(
        state.inFlight.begin(), state.inFlight.end(),
        [&](const RunningSubrequest &candidate) { return candidate.item.number == reply.number; });
    if (subrequest != state.inFlight.end()) {
        if (reply.code == ResultCode::Ok) {
            m_environment.policy.addLatency(now - subrequest->sentAt);
        }
        state.inFlight.erase(subrequest);
    }
    m_mayHaveRun = m_mayHaveRun || !provesNotRun(reply.code);
    Actions actions;
    if (reply.code == ResultCode::Ok) {
        onAnswered(state, std::move(reply.body), now, actions);
    } else {
        onFailed(*index, reply, now, actions);
    }
    return finishOrSetTimer(std::move(actions), now);
}

ScatterGather::Actions ScatterGather::onTimer(SteadyTime now)
{
    if (m_finished) {
        return {};
    }
    Actions actions;
    if (now >= m_plan.answerBy() && m_environment.checks.deadline) {
        finish(now, actions);
        return actions;
    }
    for (std::size_t index = 0; index < m_shards.size(); ++index) {
        ShardState &state = m_shards[index];
        if (state.hedgeAt && *state.hedgeAt <= now) {
            hedge(index, now, actions);
        }
        if (state.retryAt && *state.retryAt <= now) {
            state.retryAt.reset();
            state.failedReplicas.clear();
            retry(index, now, actions);
        }
    }
    return finishOrSetTimer(std::move(actions), now);
}

void ScatterGather::sendAll(Purpose purpose, SteadyTime now, Actions &actions)
{
    for (std::size_t index = 0; index < m_shards.size(); ++index) {
        ShardState &state = m_shards[index];
        const Shard &shard = m_plan.shards[index];
        if (const auto replica = m_environment.choose(shard, {}, purpose, now)) {
            send(index, *replica, purpose, now, actions);
        } else {
            state.lastFailure = {ResultCode::NotRunLeaving, "no replica accepts new work"};
            retryLater(state, now);
        }
    }
}

void ScatterGather::send(std::size_t index, const BackendServerId &backendServer, Purpose purpose,
                         SteadyTime now, Actions &actions)
{
    ShardState &state = m_shards[index];
    const SubrequestItem item {m_nextNumber++, m_plan.shards[index].name, backendServer};
    m_shardOfNumber.push_back(index);
    state.inFlight.push_back({item, now});
    state.hedgeAt.reset();
    const auto delay = m_environment.policy.hedgeDelay();
    if (purpose != Purpose::Hedge && delay && m_plan.isIdempotent) {
        state.hedgeAt = now + *delay;
    }
    actions.push_back(Send {item, purpose});
}

void ScatterGather::hedge(std::size_t index, SteadyTime now, Actions &actions)
{
    ShardState &state = m_shards[index];
    state.hedgeAt.reset();
    if (state.answered || state.inFlight.size() != 1) {
        return;
    }
    std::vector<BackendServerId> avoid = state.failedReplicas;
    avoid.insert(avoid.end(), state.replicasWithoutVersion.begin(),
                 state.replicasWithoutVersion.end());
    avoid.push_back(state.inFlight.front().item.backendServer);
    const auto replica = m_environment.choose(m_plan.shards[index], avoid, Purpose::Hedge, now);
    if (replica && m_environment.policy.tryAcquireHedge(now)) {
        send(index, *replica, Purpose::Hedge, now, actions);
        return;
    }
    // Check again soon. By then most other subrequests have ended, but a straggler still runs.
    state.hedgeAt = now + m_environment.policy.hedgeRecheckDelay();
}

void ScatterGather::retry(std::size_t index, SteadyTime now, Actions &actions)
{
    ShardState &state = m_shards[index];
    std::vector<BackendServerId> avoid = state.failedReplicas;
    avoid.insert(avoid.end(), state.replicasWithoutVersion.begin(),
                 state.replicasWithoutVersion.end());
    const auto replica = m_environment.choose(m_plan.shards[index], avoid, Purpose::Retry, now);
    // Two kinds of retries do not count against the budget. One is a failover in the first round
    // from a replica that did not run the subrequest: it adds no load, and a shard has few
    // replicas. The other is any retry while the owner changes.
    const bool isOutsideBudget = isOwnerChanging(state.lastFailure.code)
        || (state.failedRounds == 0 && provesNotRun(state.lastFailure.code));
    if (replica && (isOutsideBudget || m_environment.policy.tryAcquireRetry(now))) {
        send(index, *replica, Purpose::Retry, now, actions);
        return;
    }
    if (!replica && !state.replicasWithoutVersion.empty() && isVersionUnavailable(index, now)) {
        onVersionUnavailable(index, now, actions);
        return;
    }
    retryLater(state, now);
}

bool ScatterGather::isVersionUnavailable(std::size_t index, SteadyTime now) const
{
    const auto &replicasWithoutVersion = m_shards[index].replicasWithoutVersion;
    return !m_environment.choose(m_plan.shards[index], replicasWithoutVersion, Purpose::Retry, now);
}

void ScatterGather::retryLater(ShardState &state, SteadyTime now)
{
    ++state.failedRounds;
    const bool hasMaxRounds = !m_plan.coverageFirst && !isOwnerChanging(state.lastFailure.code);
    if (hasMaxRounds && state.failedRounds >= maxRounds) {
        state.givenUp = true;
        return;
    }
    state.retryAt = now + m_environment.policy.retryBackoff(state.failedRounds);
}

void ScatterGather::onAnswered(ShardState &state, std::string body, SteadyTime now,
                               Actions &actions)
{
    state.answered = true;
    state.body = std::move(body);
    state.retryAt.reset();
    // Subrequests to other replicas of this shard are no longer needed.
    cancelAll(state, now, actions);
}

void ScatterGather::onFailed(std::size_t index, const Subreply &reply, SteadyTime now,
                             Actions &actions)
{
    ShardState &state = m_shards[index];
    state.lastFailure = {reply.code, reply.detail};
    auto &replicas = reply.code == ResultCode::VersionGone ? state.replicasWithoutVersion
                                                           : state.failedReplicas;
    replicas.push_back(reply.backendServer);
    if (!state.inFlight.empty()) {
        return;
    }
    state.hedgeAt.reset();
    if (!m_plan.isIdempotent && !provesNotRun(reply.code)) {
        state.givenUp = true;
    } else {
        retry(index, now, actions);
    }
}

void ScatterGather::onVersionUnavailable(std::size_t index, SteadyTime now, Actions &actions)
{
    m_shards[index].givenUp = true;
    const bool mayRestart
        = m_restarts < maxRestarts && m_plan.isIdempotent && m_environment.planOnOtherVersion;
    std::optional<QueryPlan> other
        = mayRestart ? m_environment.planOnOtherVersion(m_plan) : std::nullopt;
    if (!other) {
        return;
    }
    // The answer must not hold records of the unavailable version. All shards start again, and
    // replies to the subrequests sent so far are discarded by their numbers.
    for (ShardState &state : m_shards) {
        cancelAll(state, now, actions);
    }
    ++m_restarts;
    m_plan = std::move(*other);
    m_shards.clear();
    m_shards.resize(m_plan.shards.size());
    m_shardOfNumber.clear();
    m_firstNumber = m_nextNumber;
    sendAll(Purpose::Restart, now, actions);
}

void ScatterGather::cancelAll(ShardState &state, SteadyTime now, Actions &actions)
{
    for (const RunningSubrequest &subrequest : state.inFlight) {
        m_environment.policy.addCancelled(now - subrequest.sentAt);
        m_mayHaveRun = true;
        actions.push_back(Cancel {subrequest.item});
    }
    state.inFlight.clear();
    state.hedgeAt.reset();
}

std::optional<std::size_t> ScatterGather::shardOf(const Subreply &reply) const
{
    if (!m_environment.checks.identity) {
        const auto shard = std::find_if(m_plan.shards.begin(), m_plan.shards.end(),
                                        [&](const Shard &s) { return s.name == reply.shard; });
        return shard == m_plan.shards.end() ? std::nullopt
                                            : std::optional(shard - m_plan.shards.begin());
    }
    const bool isKnownNumber = reply.requestId == m_plan.requestId && reply.number >= m_firstNumber
        && reply.number < m_nextNumber;
    if (!isKnownNumber) {
        return std::nullopt;
    }
    const std::size_t index = m_shardOfNumber[reply.number - m_firstNumber];
    const auto &inFlight = m_shards[index].inFlight;
    const bool isRunning
        = std::any_of(inFlight.begin(), inFlight.end(), [&](const RunningSubrequest &subrequest) {
              return subrequest.item.number == reply.number && subrequest.item.shard == reply.shard
                  && subrequest.item.backendServer == reply.backendServer;
          });
    return isRunning ? std::optional(index) : std::nullopt;
}

bool ScatterGather::isWellFormed(const Subreply &reply) const
{
    if (reply.code != ResultCode::Ok) {
        return true;
    }
    if (m_environment.checks.version && reply.version != m_plan.version) {
        return false;
    }
    return !m_environment.checks.completeBody
        || (!reply.body.empty() && reply.body.front() == '[' && nlohmann::json::accept(reply.body));
}

bool ScatterGather::areAllShardsDone() const
{
    return std::all_of(m_shards.begin(), m_shards.end(), [](const ShardState &shard) {
        return shard.answered || (shard.givenUp && shard.inFlight.empty());
    });
}

ScatterGather::Actions ScatterGather::finishOrSetTimer(Actions actions, SteadyTime now)
{
    if (areAllShardsDone()) {
        finish(now, actions);
        return actions;
    }
    m_nextTimer = m_environment.checks.deadline ? m_plan.answerBy() : SteadyTime::max();
    for (const ShardState &state : m_shards) {
        m_nextTimer = std::min({m_nextTimer, state.hedgeAt.value_or(SteadyTime::max()),
                                state.retryAt.value_or(SteadyTime::max())});
    }
    return actions;
}

void ScatterGather::finish(SteadyTime now, Actions &actions)
{
    assert(!m_finished);
    m_finished = true;
    bool hasInFlight = false;
    for (ShardState &state : m_shards) {
        hasInFlight = hasInFlight || !state.inFlight.empty();
        cancelAll(state, now, actions);
    }
    actions.push_back(Finish {buildAnswer(hasInFlight)});
}

QueryAnswer ScatterGather::buildAnswer(bool hasInFlight)
{
    QueryAnswer answer;
    answer.requestId = m_plan.requestId;
    answer.version = m_plan.version;
    Reason failure;
    std::uint64_t requestedSize = 0;
    std::uint64_t coveredSize = 0;
    for (std::size_t index = 0; index < m_shards.size(); ++index) {
        const Shard &shard = m_plan.shards[index];
        ShardState &state = m_shards[index];
        requestedSize += shard.range.size();
        if (state.answered) {
            coveredSize += shard.range.size();
            answer.recordArrays.push_back(std::move(state.body));
            continue;
        }
        answer.missingShards.push_back(shard.name);
        failure = state.lastFailure;
    }
    answer.coverage = requestedSize == 0
        ? 0
        : static_cast<double>(coveredSize) / static_cast<double>(requestedSize);
    answer.outcome = classifyOutcome(answer, std::move(failure), hasInFlight);
    if (resultCodeInfo(answer.outcome.code).httpStatus != resultCodeInfo(ResultCode::Ok).httpStatus
        && !answer.recordArrays.empty()) {
        // An error answer holds no records, so its coverage is 0 and all its shards are missing.
        answer.recordArrays.clear();
        answer.coverage = 0;
        answer.missingShards.clear();
        for (const Shard &shard : m_plan.shards) {
            answer.missingShards.push_back(shard.name);
        }
    }
    return answer;
}

Reason ScatterGather::classifyOutcome(const QueryAnswer &answer, Reason failure,
                                      bool hasInFlight) const
{
    if (answer.missingShards.empty()) {
        return {};
    }
    if (hasInFlight || failure.code == ResultCode::Ok) {
        failure = {ResultCode::DeadlineExceeded,
                   "no reply came from a backend server before the deadline"};
    }
    // The subrequests of other shards may have run although the last failure was a refusal.
    if (m_environment.checks.trueNotRun && m_mayHaveRun && promisesNotRun(failure.code)) {
        failure
            = {ResultCode::BackendFailed,
               "a subrequest was refused: " + std::string(resultCodeInfo(failure.code).meaning)};
    }
    const bool isPartial = answer.coverage > 0;
    if (m_plan.coverageFirst && answer.coverage < m_plan.coverageTarget) {
        failure.text += (failure.text.empty() ? "" : "; ") + std::string("the coverage of ")
            + std::to_string(answer.coverage) + " is below the target";
        return failure;
    }
    return isPartial ? Reason {ResultCode::PartialCoverage, failure.text} : failure;
}

} // namespace pimentoward
