#include "Pimentoward/Request/Order.h"

#include "Pimentoward/Core/BoundedJson.h"

#include <nlohmann/json.hpp>

namespace pimentoward {

namespace {

/// The outcome for the caller if a claim is not granted.
Reason refusalOf(const ClaimReply &reply)
{
    switch (reply.verdict) {
    case ClaimVerdict::KeyConflict:
        return {ResultCode::KeyConflict, {}};
    case ClaimVerdict::KeyExpired:
        return {ResultCode::KeyExpired, {}};
    case ClaimVerdict::MayHaveRun:
        return {ResultCode::MayHaveRun,
                "an earlier request with this key is running or its outcome is unknown"};
    case ClaimVerdict::Full:
        return {ResultCode::NotRunOverloaded, "the claim bucket of this key is full"};
    case ClaimVerdict::Granted:
    case ClaimVerdict::Recorded:
    case ClaimVerdict::StoreUnavailable:
        break;
    }
    return {ResultCode::NotRunStoreUnavailable, {}};
}

/// True if the result code proves that the backend server did not run the request.
bool provesNotRun(ResultCode code)
{
    return promisesNotRun(code) || code == ResultCode::PeerUnreachable
        || code == ResultCode::VersionGone;
}

} // namespace

std::string OrderAnswer::toJson() const
{
    const ResultCodeInfo &info = resultCodeInfo(outcome.code);
    nlohmann::json json {
        {"requestId", requestId}, {"code", static_cast<int>(outcome.code)}, {"result", info.name}};
    if (outcome.code != ResultCode::Ok) {
        json["reason"] = outcome.text.empty() ? std::string(info.meaning) : outcome.text;
    }
    if (auto parsed = parseJson(body); !parsed.is_discarded()) {
        json["outcome"] = std::move(parsed);
    }
    return json.dump();
}

Order::Order(OrderPlan plan, const Settings &settings)
    : m_plan(std::move(plan))
    , m_settings(settings)
{ }

Order::Actions Order::start(SteadyTime now)
{
    if (!m_settings.claimFirst) {
        return dispatchNext({ResultCode::NotRunOverloaded, {}}, now);
    }
    ClaimRequest claim;
    claim.token = m_plan.requestId;
    claim.coordinator = m_plan.coordinator;
    claim.service = m_plan.request.service;
    claim.key = m_plan.request.idempotencyKey;
    claim.contentHash = m_plan.request.contentHash();
    claim.expiry = m_plan.request.expiry;
    claim.timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(m_plan.deadline - now);
    return {SendClaim {claim}};
}

Order::Actions Order::onClaimReply(const ClaimReply &reply, SteadyTime now)
{
    if (reply.token != m_plan.requestId || m_phase == Phase::Dispatched) {
        return {};
    }
    const bool isGranted = reply.verdict == ClaimVerdict::Granted;
    if (m_phase == Phase::Finished) {
        // The caller was answered "not run" before the grant arrived, so the key must be released.
        const Reason notRun {ResultCode::NotRunDeadline, {}};
        return isGranted && !m_mayHaveRun ? Actions {Settle {settlement(notRun, {})}} : Actions {};
    }
    if (isGranted) {
        return dispatchNext({ResultCode::NotRunNotOwner, {}}, now);
    }
    m_phase = Phase::Finished;
    OrderAnswer answer {m_plan.requestId, refusalOf(reply), {}};
    if (reply.verdict == ClaimVerdict::Recorded) {
        answer.outcome
            = {reply.code == ResultCode::Ok ? ResultCode::RecordedOutcome : reply.code, {}};
        answer.body = reply.body;
    }
    return {Finish {answer}};
}

Order::Actions Order::onSubreply(const Subreply &reply, SteadyTime now)
{
    const bool isExpected = reply.requestId == m_plan.requestId && reply.number == m_inFlight.number
        && reply.shard == m_inFlight.shard && reply.backendServer == m_inFlight.backendServer;
    if (m_phase == Phase::Claiming || !isExpected) {
        return {};
    }
    if (m_phase == Phase::Finished) {
        return settleFromLateReply(reply);
    }
    if (reply.code == ResultCode::Ok) {
        return finishWith({ResultCode::Ok, {}}, reply.body);
    }
    if (provesNotRun(reply.code)) {
        m_mayHaveRun = false;
        return dispatchNext({reply.code, reply.detail}, now);
    }
    if (!m_settings.onlyRetryNotRun) {
        return dispatchNext({reply.code, reply.detail}, now);
    }
    return finishWith({ResultCode::MayHaveRun, reply.detail}, {});
}

Order::Actions Order::settleFromLateReply(const Subreply &reply)
{
    const bool isKnown = reply.code == ResultCode::Ok || provesNotRun(reply.code);
    if (!m_mayHaveRun || !isKnown) {
        return {};
    }
    m_mayHaveRun = false;
    const bool ran = reply.code == ResultCode::Ok;
    const Reason outcome {ran ? ResultCode::Ok : ResultCode::NotRunRefusedByBackend, {}};
    return {Settle {settlement(outcome, reply.body)}};
}

Order::Actions Order::onTimer(SteadyTime now)
{
    if (m_phase == Phase::Finished || now < m_plan.deadline) {
        return {};
    }
    if (m_phase == Phase::Claiming) {
        // Nothing was dispatched, and nothing will be. If a grant arrives later, it is released.
        m_phase = Phase::Finished;
        const Reason outcome {ResultCode::NotRunStoreUnavailable,
                              "the claim was not confirmed before the deadline"};
        return {Finish {{m_plan.requestId, outcome, {}}}};
    }
    return finishWith(
        {ResultCode::MayHaveRun, "no reply came from a backend server before the deadline"}, {});
}

Order::Actions Order::dispatchNext(const Reason &lastRefusal, SteadyTime now)
{
    if (now >= m_plan.deadline) {
        return finishWith({ResultCode::NotRunDeadline, lastRefusal.text}, {});
    }
    if (m_nextReplica >= m_plan.shard.replicas.size()) {
        const bool isNotRunCode = promisesNotRun(lastRefusal.code);
        return finishWith({isNotRunCode ? lastRefusal.code : ResultCode::NotRunRefusedByBackend,
                           lastRefusal.text},
                          {});
    }
    m_phase = Phase::Dispatched;
    m_mayHaveRun = true;
    m_inFlight = {static_cast<std::uint32_t>(m_nextReplica + 1), m_plan.shard.name,
                  m_plan.shard.replicas[m_nextReplica]};
    ++m_nextReplica;
    return {Send {m_inFlight}};
}

Order::Actions Order::finishWith(const Reason &outcome, const std::string &body)
{
    m_phase = Phase::Finished;
    Actions actions;
    // If the outcome is unknown, the key stays claimed, so that the request cannot run again. A
    // late reply may still settle the claim.
    if (outcome.code != ResultCode::MayHaveRun) {
        m_mayHaveRun = false;
        actions.push_back(Settle {settlement(outcome, body)});
    }
    actions.push_back(Finish {{m_plan.requestId, outcome, body}});
    return actions;
}

ClaimSettlement Order::settlement(const Reason &outcome, const std::string &body) const
{
    ClaimSettlement settlement;
    settlement.token = m_plan.requestId;
    settlement.coordinator = m_plan.coordinator;
    settlement.service = m_plan.request.service;
    settlement.key = m_plan.request.idempotencyKey;
    settlement.ran = !promisesNotRun(outcome.code);
    settlement.code = outcome.code;
    settlement.body = body;
    return settlement;
}

} // namespace pimentoward
