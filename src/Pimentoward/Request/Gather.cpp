#include "Pimentoward/Request/Gather.h"

#include "Pimentoward/Request/RecordMerge.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace pimentoward {

namespace {

constexpr int statusOk = 200;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;

/// Attempts that one part may make beyond the plan's maxAttempts, as a replacement for attempts
/// that did not run.
constexpr unsigned maxRefusedSends = 2;
/// Delay after which a hedge that found no retry budget or no backend server is tried again.
constexpr std::chrono::milliseconds hedgeRecheckDelay {15};
/// Retry-After value, in seconds, of the replies to refused requests. By then, a paused or
/// restarting backend server is available again.
constexpr const char *retryAfterSeconds = "0.3";

} // namespace

Gather::Gather(GatherPlan plan, const Environment &environment)
    : Gather(std::move(plan), environment, Checks())
{ }

Gather::Gather(GatherPlan plan, const Environment &environment, const Checks &checks)
    : m_plan(std::move(plan))
    , m_environment(environment)
    , m_checks(checks)
    , m_parts(m_plan.parts.size())
{
    assert(!m_parts.empty());
    m_progress.parts = m_parts.size();
}

GatherActions Gather::start(SteadyTime now)
{
    GatherActions actions;
    for (std::size_t index = 0; index < m_parts.size(); ++index) {
        sendFirst(index, now, actions);
    }
    return finishIfDone(std::move(actions), now);
}

void Gather::sendFirst(std::size_t index, SteadyTime now, GatherActions &actions)
{
    Part &part = m_parts[index];
    const Choice choice
        = m_environment.choose(m_plan.parts[index], part.tried, SendPurpose::First, now);
    part.isWaiting = choice.backend.empty() && choice.mayBecomeAvailable;
    if (!choice.backend.empty()) {
        send(index, choice.backend, SendPurpose::First, now, actions);
    } else if (!choice.mayBecomeAvailable) {
        part.isGivenUp = true;
        m_progress.lastFailure = "no backend server in service";
    }
}

void Gather::send(std::size_t index, const BackendServerId &backend, SendPurpose purpose,
                  SteadyTime now, GatherActions &actions)
{
    Part &part = m_parts[index];
    part.tried.push_back(backend);
    ++part.inFlight;
    ++part.possibleRuns;
    ++part.sends;
    m_attempts.push_back({index, backend, true});
    ++m_progress.sends;
    m_progress.hedges += purpose == SendPurpose::Hedge ? 1 : 0;
    m_progress.retries += purpose == SendPurpose::Retry ? 1 : 0;
    part.hedgeAt.reset();
    if (canAttemptAgain(part)) {
        part.hedgeAt = now + m_plan.hedgeDelay;
    }
    actions.emplace_back(
        GatherSend {index, static_cast<AttemptNumber>(m_attempts.size()), purpose, backend});
}

bool Gather::canAttemptAgain(const Part &part) const
{
    if (part.sends >= m_plan.maxAttempts + maxRefusedSends) {
        return false;
    }
    if (part.possibleRuns == 0) {
        return true;
    }
    const bool isRepeatable = m_plan.isIdempotent || !m_checks.atMostOnce;
    return isRepeatable && part.possibleRuns < m_plan.maxAttempts;
}

GatherActions Gather::onReply(AttemptNumber number, ClassifiedReply reply, SteadyTime now)
{
    if (m_isFinished) {
        return {};
    }
    Attempt &attempt = m_attempts.at(number - 1);
    assert(attempt.isInFlight);
    attempt.isInFlight = false;
    const std::size_t index = attempt.part;
    Part &part = m_parts[index];
    --part.inFlight;
    GatherActions actions;
    if (part.answer) {
        return actions;
    }
    if (reply.kind == ReplyKind::Success) {
        part.answer = std::move(reply);
        part.hedgeAt.reset();
        part.isWaiting = false;
        return finishIfDone(std::move(actions), now);
    }
    m_progress.lastFailure = reply.reason;
    if (reply.kind == ReplyKind::NotRun) {
        --part.possibleRuns;
    }
    if (reply.kind == ReplyKind::Failure) {
        part.failure = std::move(reply.message);
    }
    if (part.inFlight == 0) {
        retry(index, now, actions);
    }
    return finishIfDone(std::move(actions), now);
}

void Gather::retry(std::size_t index, SteadyTime now, GatherActions &actions)
{
    Part &part = m_parts[index];
    part.hedgeAt.reset();
    if (!canAttemptAgain(part)) {
        part.isGivenUp = true;
        return;
    }
    const ServiceName &service = m_plan.parts[index];
    const Choice choice = m_environment.choose(service, part.tried, SendPurpose::Retry, now);
    if (choice.backend.empty()) {
        part.isGivenUp = true;
        return;
    }
    if (m_checks.budget && !m_environment.acquireExtraRequest(service, now)) {
        part.isGivenUp = true;
        m_progress.lastFailure += ", retry budget spent";
        return;
    }
    send(index, choice.backend, SendPurpose::Retry, now, actions);
}

void Gather::hedge(std::size_t index, SteadyTime now, GatherActions &actions)
{
    Part &part = m_parts[index];
    part.hedgeAt.reset();
    if (!m_plan.isIdempotent || part.inFlight == 0 || !canAttemptAgain(part)) {
        return;
    }
    const ServiceName &service = m_plan.parts[index];
    const Choice choice = m_environment.choose(service, part.tried, SendPurpose::Hedge, now);
    const bool isGranted = !choice.backend.empty()
        && (!m_checks.budget || m_environment.acquireExtraRequest(service, now));
    if (!isGranted) {
        part.hedgeAt = now + hedgeRecheckDelay;
        return;
    }
    send(index, choice.backend, SendPurpose::Hedge, now, actions);
}

GatherActions Gather::onFreeCapacity(const std::set<ServiceName> &services, SteadyTime now)
{
    GatherActions actions;
    if (m_isFinished) {
        return actions;
    }
    for (std::size_t index = 0; index < m_parts.size(); ++index) {
        if (m_parts[index].isWaiting && services.count(m_plan.parts[index]) > 0) {
            sendFirst(index, now, actions);
        }
    }
    return finishIfDone(std::move(actions), now);
}

GatherActions Gather::onTimer(SteadyTime now)
{
    GatherActions actions;
    if (m_isFinished) {
        return actions;
    }
    for (std::size_t index = 0; index < m_parts.size(); ++index) {
        const Part &part = m_parts[index];
        if (!part.answer && part.hedgeAt && *part.hedgeAt <= now) {
            hedge(index, now, actions);
        }
    }
    return finishIfDone(std::move(actions), now);
}

SteadyTime Gather::nextTimer() const
{
    SteadyTime next = m_plan.deadline;
    const bool hasSent = !m_attempts.empty();
    if (!hasSent) {
        next = std::min(next, m_plan.refuseBy);
    }
    if (m_plan.isFanout && !hasMinCoverage()) {
        next = std::min(next, m_plan.deadline);
    } else if (m_plan.isFanout) {
        next = std::min(next, m_plan.answerBy);
    }
    for (const Part &part : m_parts) {
        if (!part.answer && part.hedgeAt) {
            next = std::min(next, *part.hedgeAt);
        }
    }
    return next;
}

bool Gather::isWaiting() const
{
    return std::any_of(m_parts.begin(), m_parts.end(),
                       [](const Part &part) { return part.isWaiting; });
}

bool Gather::isDone(const Part &part) const
{
    return part.answer.has_value() || (part.isGivenUp && part.inFlight == 0);
}

std::size_t Gather::answeredParts() const
{
    return static_cast<std::size_t>(std::count_if(
        m_parts.begin(), m_parts.end(), [](const Part &part) { return part.answer.has_value(); }));
}

bool Gather::hasMinCoverage() const
{
    const std::size_t count = answeredParts();
    if (count == 0) {
        return false;
    }
    // Compares numbers of parts instead of shares. The slack is far less than one part, so rounding
    // errors neither accept a part too few nor require one too many.
    constexpr double roundingSlack = 1e-9;
    const double needed = m_plan.minCoverage * static_cast<double>(m_parts.size());
    return !m_checks.coverage || static_cast<double>(count) + roundingSlack >= needed;
}

bool Gather::canReachMinCoverage() const
{
    const auto failedParts
        = std::count_if(m_parts.begin(), m_parts.end(),
                        [this](const Part &part) { return isDone(part) && !part.answer; });
    constexpr double roundingSlack = 1e-9;
    const double reachable = static_cast<double>(m_parts.size()) - static_cast<double>(failedParts);
    const double needed = m_plan.minCoverage * static_cast<double>(m_parts.size());
    return reachable > 0 && reachable + roundingSlack >= needed;
}

bool Gather::mayHaveRun() const
{
    return std::any_of(m_parts.begin(), m_parts.end(),
                       [](const Part &part) { return part.possibleRuns > 0; });
}

GatherActions Gather::finishIfDone(GatherActions actions, SteadyTime now)
{
    const bool areAllPartsDone = std::all_of(m_parts.begin(), m_parts.end(),
                                             [this](const Part &part) { return isDone(part); });
    const bool isAnswerDue = m_plan.isFanout && now >= m_plan.answerBy && hasMinCoverage();
    const bool isCoverageUnreachable = m_plan.isFanout && !canReachMinCoverage();
    const bool isRefused = m_attempts.empty() && now >= m_plan.refuseBy;
    if (areAllPartsDone || isAnswerDue || isCoverageUnreachable || isRefused
        || now >= m_plan.deadline) {
        finish(actions, now);
    }
    return actions;
}

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
        reply.headers.add("Retry-After", retryAfterSeconds);
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

} // namespace pimentoward
