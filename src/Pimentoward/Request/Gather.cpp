#include "Pimentoward/Request/Gather.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace pimentoward {

namespace {

/// Attempts that one part may make beyond the plan's maxAttempts, as a replacement for attempts
/// that did not run.
constexpr unsigned maxRefusedSends = 2;
/// Delay after which a hedge that found no retry budget or no backend server is tried again.
constexpr std::chrono::milliseconds hedgeRecheckDelay {15};

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
    if (m_plan.isFanout && !canReachMinCoverage()) {
        withdrawAttempts(actions);
    }
    return finishIfDone(std::move(actions), now);
}

void Gather::withdrawAttempts(GatherActions &actions)
{
    actions.clear();
    m_attempts.clear();
    m_progress.sends = 0;
    for (Part &part : m_parts) {
        part.inFlight = 0;
        part.possibleRuns = 0;
        part.sends = 0;
        part.hedgeAt.reset();
    }
}

void Gather::sendFirst(std::size_t index, SteadyTime now, GatherActions &actions)
{
    Part &part = m_parts[index];
    const SendPurpose purpose
        = m_plan.isIdempotent ? SendPurpose::First : SendPurpose::FirstUnrepeatable;
    const Choice choice = m_environment.choose(m_plan.parts[index], part.tried, purpose, now);
    if (choice.backend.empty()) {
        waitOrGiveUp(part, choice, now);
        return;
    }
    send(index, choice.backend, purpose, now, actions);
}

void Gather::waitOrGiveUp(Part &part, const Choice &choice, SteadyTime now)
{
    const bool isRetry = part.sends > 0;
    const bool isInTime = !isRetry || now < m_plan.refuseBy;
    if (choice.pausedUntil) {
        part.isWaiting = isInTime && *choice.pausedUntil < m_plan.refuseBy;
        part.pausedUntil = choice.pausedUntil;
        m_progress.lastFailure = "all backend servers have asked for a pause";
    } else {
        part.isWaiting = isInTime && choice.mayBecomeAvailable;
        if (!choice.mayBecomeAvailable && !isRetry) {
            m_progress.lastFailure = "no backend server in service";
        }
    }
    part.isGivenUp = !part.isWaiting;
}

void Gather::send(std::size_t index, const BackendServerId &backend, SendPurpose purpose,
                  SteadyTime now, GatherActions &actions)
{
    Part &part = m_parts[index];
    part.tried.push_back(backend);
    part.isWaiting = false;
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
    if (part.inFlight == 0 && !isEndDue(now)) {
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
        waitOrGiveUp(part, choice, now);
        return;
    }
    part.isWaiting = false;
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
    if (m_isFinished || isEndDue(now)) {
        return finishIfDone(std::move(actions), now);
    }
    for (std::size_t index = 0; index < m_parts.size(); ++index) {
        const Part &part = m_parts[index];
        if (!part.isWaiting || services.count(m_plan.parts[index]) == 0) {
            continue;
        }
        if (part.sends == 0) {
            sendFirst(index, now, actions);
        } else {
            retry(index, now, actions);
        }
    }
    return finishIfDone(std::move(actions), now);
}

void Gather::giveUpLateRetries(SteadyTime now)
{
    for (Part &part : m_parts) {
        if (part.isWaiting && part.sends > 0 && now >= m_plan.refuseBy) {
            part.isWaiting = false;
            part.isGivenUp = true;
        }
    }
}

GatherActions Gather::onTimer(SteadyTime now)
{
    GatherActions actions;
    giveUpLateRetries(now);
    if (m_isFinished || isEndDue(now)) {
        return finishIfDone(std::move(actions), now);
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
    const bool hasWaitingRetry = std::any_of(m_parts.begin(), m_parts.end(), [](const Part &part) {
        return part.isWaiting && part.sends > 0;
    });
    if (m_attempts.empty() || hasWaitingRetry) {
        next = std::min(next, m_plan.refuseBy);
    }
    if (m_plan.isFanout && hasMinCoverage()) {
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

std::size_t Gather::neededParts() const
{
    // Far less than one part, so a rounding error neither accepts a part too few nor requires one
    // too many.
    constexpr double roundingSlack = 1e-9;
    const double needed = m_plan.minCoverage * static_cast<double>(m_parts.size()) - roundingSlack;
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(std::max(needed, 0.0))));
}

bool Gather::hasMinCoverage() const
{
    const std::size_t count = answeredParts();
    if (count == 0) {
        return false;
    }
    return !m_checks.coverage || count >= neededParts();
}

bool Gather::canReachMinCoverage() const
{
    return m_parts.size() - failedParts() >= neededParts();
}

std::size_t Gather::failedParts() const
{
    return static_cast<std::size_t>(
        std::count_if(m_parts.begin(), m_parts.end(),
                      [this](const Part &part) { return isDone(part) && !part.answer; }));
}

bool Gather::isEndDue(SteadyTime now) const
{
    const bool areAllPartsDone = std::all_of(m_parts.begin(), m_parts.end(),
                                             [this](const Part &part) { return isDone(part); });
    const bool isAnswerDue = m_plan.isFanout && now >= m_plan.answerBy && hasMinCoverage();
    const bool isCoverageUnreachable = m_plan.isFanout && !canReachMinCoverage();
    const bool isRefused = m_attempts.empty() && now >= m_plan.refuseBy;
    return areAllPartsDone || isAnswerDue || isCoverageUnreachable || isRefused
        || now >= m_plan.deadline;
}

bool Gather::mayHaveRun() const
{
    return std::any_of(m_parts.begin(), m_parts.end(),
                       [](const Part &part) { return part.possibleRuns > 0; });
}

GatherActions Gather::finishIfDone(GatherActions actions, SteadyTime now)
{
    if (!m_isFinished && isEndDue(now)) {
        finish(actions, now);
    }
    return actions;
}

} // namespace pimentoward
