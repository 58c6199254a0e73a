#include "Pimentoward/Connection/BackendDispatcher.h"

#include <algorithm>

namespace pimentoward {

BackendDispatcher::BackendDispatcher(const Settings &settings)
    : m_settings(settings)
    , m_coldStart(coldStartSettings(settings))
{ }

void BackendDispatcher::updateSettings(const Settings &settings)
{
    m_settings = settings;
    m_coldStart.updateSettings(coldStartSettings(settings));
}

BackendDispatcher::Actions BackendDispatcher::enqueue(DispatchToken token,
                                                      RequestClass requestClass,
                                                      SteadyTime deadline, SteadyTime now)
{
    if (now >= deadline) {
        return {Refuse {token, {ResultCode::NotRunDeadline, "the deadline has passed"}}};
    }
    Actions actions;
    dispatchWaiting(now, actions);
    if (m_queue.isEmpty() && hasFreeSlot()) {
        dispatch(token, deadline, now, actions);
        return actions;
    }
    const OwnerQueue::Entry entry {token, requestClass, deadline};
    if (!canMeetDeadline(entry, now)) {
        actions.push_back(Refuse {
            token,
            {ResultCode::NotRunDeadline, "the owner's queue is too long to meet the deadline"}});
        return actions;
    }
    const Reason queueFull {ResultCode::NotRunOverloaded, "the owner's queue is full"};
    const auto [isAccepted, evicted] = m_queue.push(entry, m_settings.queueLimit);
    if (!isAccepted || evicted) {
        actions.push_back(Refuse {evicted.value_or(token), queueFull});
    }
    return actions;
}

BackendDispatcher::Actions BackendDispatcher::cancel(DispatchToken token, SteadyTime now)
{
    if (m_queue.remove(token)) {
        return {Refuse {token, {ResultCode::NotRunCancelled, "cancelled before dispatch"}}};
    }
    if (!m_slots.heldSlot(token) || !m_cancelled.insert(token).second) {
        return {};
    }
    Actions actions {CancelRunning {token}};
    if (!m_settings.needsEndProof) {
        m_slots.release(token);
        dispatchWaiting(now, actions);
    }
    return actions;
}

BackendDispatcher::Actions BackendDispatcher::onCancelAcknowledged(DispatchToken token,
                                                                   SteadyTime now)
{
    m_slots.release(token);
    Actions actions;
    dispatchWaiting(now, actions);
    return actions;
}

BackendDispatcher::Actions BackendDispatcher::onOutcome(DispatchToken token, const Outcome &outcome,
                                                        SteadyTime now)
{
    m_cancelled.erase(token);
    m_coldStart.onIncarnation(outcome.incarnation);
    const auto slot = m_slots.heldSlot(token);
    if (outcome.isEndProved || !m_settings.needsEndProof) {
        m_slots.release(token);
    }
    // If the slot was freed earlier, the generation is unknown. 0 matches none, since generations
    // start at 1.
    recordOutcome(outcome, slot ? slot->generation : 0);
    Actions actions;
    dispatchWaiting(now, actions);
    return actions;
}

BackendDispatcher::Actions BackendDispatcher::onTimer(SteadyTime now)
{
    Actions actions;
    dispatchWaiting(now, actions);
    return actions;
}

std::optional<SteadyTime> BackendDispatcher::nextTimer() const
{
    std::optional<SteadyTime> due = m_slots.nextRelease();
    if (const auto deadline = m_queue.earliestDeadline()) {
        const SteadyTime latestDispatch = *deadline - expectedServiceTime();
        due = due ? std::min(*due, latestDispatch) : latestDispatch;
    }
    return due;
}

BackendDispatcher::Actions BackendDispatcher::refuseAll(const Reason &reason)
{
    Actions actions;
    for (const DispatchToken token : m_queue.removeAll()) {
        actions.push_back(Refuse {token, reason});
    }
    return actions;
}

LoadReport BackendDispatcher::load() const
{
    LoadReport report;
    report.queueLength = static_cast<std::uint32_t>(m_queue.size());
    report.limit = static_cast<std::uint32_t>(m_coldStart.limit());
    report.serviceTime
        = std::chrono::duration_cast<std::chrono::microseconds>(m_coldStart.serviceTime());
    report.cold = m_coldStart.isCold();
    return report;
}

ColdStart::Settings BackendDispatcher::coldStartSettings(const Settings &settings)
{
    ColdStart::Settings cold;
    cold.slots = settings.slots;
    cold.coldLimit = settings.coldLimit;
    cold.coldFactor = settings.coldFactor;
    cold.appliesColdLimit = settings.appliesColdLimit;
    cold.requiresColdSuccesses = settings.requiresColdSuccesses;
    return cold;
}

bool BackendDispatcher::hasFreeSlot() const
{
    return m_slots.inUse() < static_cast<std::size_t>(m_coldStart.limit());
}

Duration BackendDispatcher::expectedServiceTime() const
{
    // An idle server gets work even if it seems too slow, because only replies can show that it is
    // faster again.
    const bool isIdle = m_slots.inUse() == 0;
    return isIdle || !m_settings.refusesLate ? Duration::zero() : m_coldStart.serviceTime();
}

bool BackendDispatcher::canMeetDeadline(const OwnerQueue::Entry &entry, SteadyTime now) const
{
    const auto rounds
        = static_cast<Duration::rep>(m_queue.position(entry) / m_coldStart.limit() + 1);
    return now + expectedServiceTime() * (rounds + 1) <= entry.deadline
        || expectedServiceTime() == Duration::zero();
}

void BackendDispatcher::recordOutcome(const Outcome &outcome, std::uint64_t generation)
{
    switch (outcome.code) {
    case ResultCode::Ok:
        m_coldStart.onSuccess(outcome.serviceTime, generation);
        break;
    case ResultCode::NotRunRefusedByBackend:
        m_coldStart.onRefused();
        break;
    case ResultCode::PeerUnreachable:
    case ResultCode::MayHaveRun:
        m_coldStart.onCommunicationFailure();
        break;
    case ResultCode::DeadlineExceeded:
    case ResultCode::BackendFailed:
    case ResultCode::WrongReply:
        if (outcome.isEndProved) {
            m_coldStart.onUnsuccessfulEnd(outcome.serviceTime, generation);
        } else {
            m_coldStart.onCommunicationFailure();
        }
        break;
    default:
        break;
    }
}

void BackendDispatcher::dispatch(DispatchToken token, SteadyTime deadline, SteadyTime now,
                                 Actions &actions)
{
    m_slots.acquire(token, {now, deadline + m_settings.grace, m_coldStart.generation()});
    actions.push_back(Dispatch {token});
}

void BackendDispatcher::dispatchWaiting(SteadyTime now, Actions &actions)
{
    m_slots.releaseOverdue(now);
    refuseLate(now, actions);
    while (hasFreeSlot()) {
        const auto next = m_queue.pop();
        if (!next) {
            return;
        }
        dispatch(next->token, next->deadline, now, actions);
    }
}

void BackendDispatcher::refuseLate(SteadyTime now, Actions &actions)
{
    for (const DispatchToken token : m_queue.removeExpired(now + expectedServiceTime())) {
        actions.push_back(Refuse {token,
                                  {ResultCode::NotRunDeadline,
                                   "the subrequest waited in the owner's queue until its deadline "
                                   "could no longer be met"}});
    }
}

} // namespace pimentoward
