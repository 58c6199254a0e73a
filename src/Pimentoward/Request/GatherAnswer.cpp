// The part of Gather that builds the answer to the caller.

#include "Pimentoward/Connection/RetryAfter.h"
#include "Pimentoward/Request/Gather.h"
#include "Pimentoward/Request/RecordMerge.h"

#include <algorithm>

namespace pimentoward {

namespace {

constexpr int statusOk = 200;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;

/// Minimum time that a refused caller is asked to wait. By then, a backend server that paused or
/// restarted for a moment is available again.
constexpr std::chrono::milliseconds minRetryDelay {300};

} // namespace

void Gather::finish(GatherActions &actions, SteadyTime now)
{
    m_isFinished = true;
    GatherOutcome outcome = m_progress;
    outcome.missing = m_parts.size() - answeredParts();
    outcome.missingServices = missingServices();
    if (!m_plan.isFanout) {
        setSingleAnswer(outcome, now);
    } else if (hasMinCoverage()) {
        setMergedAnswer(outcome);
    } else {
        outcome.reply = failureReply(outcome.reason, now);
    }
    actions.emplace_back(GatherFinish {std::move(outcome)});
}

std::string Gather::missingServices() const
{
    constexpr std::size_t maxNamed = 8;
    std::string names;
    std::size_t named = 0;
    for (std::size_t index = 0; index < m_parts.size() && named < maxNamed; ++index) {
        if (!m_parts[index].answer) {
            names += (named == 0 ? "" : ",") + m_plan.parts[index];
            ++named;
        }
    }
    return names;
}

void Gather::setSingleAnswer(GatherOutcome &outcome, SteadyTime now)
{
    Part &part = m_parts.front();
    if (part.answer) {
        outcome.reply = std::move(part.answer->message);
        return;
    }
    if (part.failure) {
        outcome.reply = std::move(*part.failure);
        outcome.reason = {ResultCode::BackendFailed, "the backend server replied with an error"};
        return;
    }
    outcome.reply = failureReply(outcome.reason, now);
}

void Gather::setMergedAnswer(GatherOutcome &outcome) const
{
    std::vector<std::string_view> bodies;
    for (const Part &part : m_parts) {
        if (part.answer) {
            bodies.push_back(part.answer->message.body);
            outcome.signatures.push_back(part.answer->signature);
        }
    }
    outcome.reply.status = statusOk;
    outcome.reply.body = mergeTopRecords(bodies, m_plan.topRecords);
    outcome.reason.code = outcome.missing == 0 ? ResultCode::Ok : ResultCode::PartialCoverage;
}

HttpReplyMessage Gather::failureReply(Reason &reason, SteadyTime now) const
{
    HttpReplyMessage reply;
    const std::string cause = m_progress.lastFailure.empty() ? "" : ": " + m_progress.lastFailure;
    if (!mayHaveRun() || !m_checks.trueNotRun) {
        reply.status = statusUnavailable;
        reply.headers.add("Retry-After", retryAfterText(retryDelay(now)));
        reason = {ResultCode::NotRunOverloaded, "not run" + cause};
    } else if (now >= m_plan.deadline) {
        reply.status = statusGatewayTimeout;
        reason = {ResultCode::DeadlineExceeded, "no answer in time" + cause};
    } else {
        reply.status = statusBadGateway;
        reason = {ResultCode::BackendFailed, "no usable answer" + cause};
    }
    return reply;
}

Duration Gather::retryDelay(SteadyTime now) const
{
    const std::size_t reachable = m_parts.size() - failedParts();
    std::vector<SteadyTime> pauseEnds;
    for (const Part &part : m_parts) {
        if (part.isGivenUp && part.pausedUntil) {
            pauseEnds.push_back(*part.pausedUntil);
        }
    }
    if (reachable >= neededParts() || pauseEnds.size() < neededParts() - reachable) {
        return minRetryDelay;
    }
    // The request can be answered once as many pauses have ended as parts are missing.
    const auto decisive
        = pauseEnds.begin() + static_cast<std::ptrdiff_t>(neededParts() - reachable - 1);
    std::nth_element(pauseEnds.begin(), decisive, pauseEnds.end());
    return std::max<Duration>(*decisive - now, minRetryDelay);
}

} // namespace pimentoward
