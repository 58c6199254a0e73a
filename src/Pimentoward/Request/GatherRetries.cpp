// The part of Gather that decides on hedges and retries.

#include "Pimentoward/Request/Gather.h"
#include "Pimentoward/Request/RetryAllocation.h"

#include <algorithm>

namespace pimentoward {

namespace {

/// Attempts that one part may make beyond the plan's maxAttempts, as a replacement for attempts
/// that did not run.
constexpr unsigned maxRefusedSends = 4;
/// Part of the hedge delay for which failed parts are held. Refusals arrive at about the same time,
/// long before a hedge is due.
constexpr double holdShare = 0.25;
/// A fan-out in which one of so many parts fails, or one alone, retries it at once.
constexpr std::size_t partsPerUsualFailure = 32;
/// Delay after which a hedge that found no retry budget or no backend server is tried again.
constexpr std::chrono::milliseconds hedgeRecheckDelay {15};

} // namespace

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

Gather::Choice Gather::chooseAgain(std::size_t index, SendPurpose purpose, SteadyTime now)
{
    Part &part = m_parts[index];
    const ServiceName &service = m_plan.parts[index];
    std::vector<BackendServerId> avoid = part.tried;
    avoid.insert(avoid.end(), part.refusedBy.begin(), part.refusedBy.end());
    Choice choice = m_environment.choose(service, avoid, purpose, now);
    const bool isNoneLeft = choice.backend.empty() && !choice.mayBecomeAvailable;
    if (isNoneLeft && !part.refusedBy.empty() && purpose == SendPurpose::Retry) {
        part.refusedBy.clear();
        choice = m_environment.choose(service, part.tried, purpose, now);
    }
    return choice;
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
    const Choice choice = chooseAgain(index, SendPurpose::Retry, now);
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

void Gather::retryOrHold(std::size_t index, SteadyTime now, GatherActions &actions)
{
    Part &part = m_parts[index];
    if (!needsAllocation(index, now)) {
        retry(index, now, actions);
    } else {
        part.hedgeAt.reset();
        part.isHeld = true;
        m_allocateAt = std::min(m_allocateAt.value_or(m_plan.deadline),
                                now + scaled(m_plan.hedgeDelay, holdShare));
    }
    if (hasHeldParts() && !hasAttemptInFlight()) {
        allocateRetries(now, actions);
    }
}

bool Gather::needsAllocation(std::size_t index, SteadyTime now) const
{
    if (!m_plan.isFanout || !m_checks.wholeFanouts || !m_environment.retryRoom) {
        return false;
    }
    const std::size_t usualFailures
        = std::max<std::size_t>(1, m_parts.size() / partsPerUsualFailure);
    return m_failedAttempts > usualFailures
        || m_environment.retryRoom(m_plan.parts[index], m_plan.priority, now).isShort;
}

unsigned Gather::retriesLeft(std::size_t index, SteadyTime now) const
{
    const Part &part = m_parts[index];
    if (!canAttemptAgain(part)) {
        return 0;
    }
    const unsigned sendsLeft = m_plan.maxAttempts + maxRefusedSends - part.sends;
    const SharedRetryBudget::Room room
        = m_environment.retryRoom(m_plan.parts[index], m_plan.priority, now);
    return std::min(sendsLeft, room.left);
}

void Gather::allocateRetries(SteadyTime now, GatherActions &actions)
{
    m_allocateAt.reset();
    std::vector<RetryAllocation::Candidate> candidates;
    std::size_t expected = 0;
    for (std::size_t index = 0; index < m_parts.size(); ++index) {
        const Part &part = m_parts[index];
        if (part.isHeld) {
            candidates.push_back({index, retriesLeft(index, now)});
        } else if (part.answer || !isDone(part)) {
            ++expected;
        }
    }
    const std::size_t needed = neededParts() - std::min(neededParts(), expected);
    const double failedShare = static_cast<double>(m_failedAttempts) / m_progress.sends;
    const std::vector<std::size_t> parts
        = RetryAllocation(failedShare).partsToSend(std::move(candidates), needed);
    for (const std::size_t index : parts) {
        m_parts[index].isHeld = false;
        retry(index, now, actions);
    }
    if (parts.empty() && (needed > 0 || !hasAttemptInFlight())) {
        giveUpHeldParts();
    }
}

void Gather::giveUpHeldParts()
{
    for (Part &part : m_parts) {
        if (part.isHeld) {
            part.isHeld = false;
            part.isGivenUp = true;
            m_progress.lastFailure = "retry budget kept for requests that it can complete";
        }
    }
}

bool Gather::hasHeldParts() const
{
    return std::any_of(m_parts.begin(), m_parts.end(),
                       [](const Part &part) { return part.isHeld; });
}

bool Gather::hasAttemptInFlight() const
{
    return std::any_of(m_parts.begin(), m_parts.end(),
                       [](const Part &part) { return !part.answer && part.inFlight > 0; });
}

void Gather::hedge(std::size_t index, SteadyTime now, GatherActions &actions)
{
    Part &part = m_parts[index];
    part.hedgeAt.reset();
    if (hasHeldParts()) {
        part.hedgeAt = now + hedgeRecheckDelay;
        return;
    }
    if (!m_plan.isIdempotent || part.inFlight == 0 || !canAttemptAgain(part)) {
        return;
    }
    const ServiceName &service = m_plan.parts[index];
    const Choice choice = chooseAgain(index, SendPurpose::Hedge, now);
    const bool isGranted = !choice.backend.empty()
        && (!m_checks.budget || m_environment.acquireExtraRequest(service, now));
    if (!isGranted) {
        part.hedgeAt = now + hedgeRecheckDelay;
        return;
    }
    send(index, choice.backend, SendPurpose::Hedge, now, actions);
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

} // namespace pimentoward
