#include "Pimentoward/Connection/BackendDispatcher.h"

#include <algorithm>

namespace pimentoward {

BackendDispatcher::BackendDispatcher(const Settings &settings)
    : m_settings(settings)
    , m_coldStart(coldSettings(settings))
{ }

void BackendDispatcher::updateSettings(const Settings &settings)
{
    m_settings = settings;
    m_coldStart.updateSettings(coldSettings(settings));
}

BackendDispatcher::Actions BackendDispatcher::enqueue(DispatchToken token,
                                                      RequestClass requestClass,
                                                      SteadyTime deadline, SteadyTime now)
{
    if (now >= deadline) {
        return {Refuse {token, {ResultCode::NotRunDeadline, "the deadline has passed"}}};
    }
    Actions actions;
    fill(now, actions);
    if (m_queue.isEmpty() && hasFreeSlot()) {
        dispatch(token, deadline, now, actions);
        return actions;
    }
    const OwnerQueue::Entry entry {token, requestClass, deadline};
    if (!canMakeIt(entry, now)) {
        actions.push_back(
            Refuse {token, {ResultCode::NotRunDeadline, "the queue is too long for its deadline"}});
        return actions;
    }
    const Reason full {ResultCode::NotRunOverloaded, "the owner's queue is full"};
    const auto [isTaken, displaced] = m_queue.push(entry, m_settings.queueLimit);
    if (!isTaken || displaced) {
        actions.push_back(Refuse {displaced.value_or(token), full});
    }
    return actions;
}

BackendDispatcher::Actions BackendDispatcher::cancel(DispatchToken token, SteadyTime now)
{
    if (m_queue.remove(token)) {
        return {Refuse {token, {ResultCode::NotRunCancelled, "cancelled before dispatch"}}};
    }
    if (!m_slots.held(token) || !m_cancelled.insert(token).second) {
        return {};
    }
    Actions actions {CancelRunning {token}};
    if (!m_settings.needsEndProof) {
        m_slots.release(token);
        fill(now, actions);
    }
    return actions;
}

BackendDispatcher::Actions BackendDispatcher::onCancelAcknowledged(DispatchToken token,
                                                                   SteadyTime now)
{
    m_slots.release(token);
    Actions actions;
    fill(now, actions);
    return actions;
}

BackendDispatcher::Actions BackendDispatcher::onOutcome(DispatchToken token, const Outcome &outcome,
                                                        SteadyTime now)
{
    m_cancelled.erase(token);
    m_coldStart.onIncarnation(outcome.incarnation);
    const auto held = m_slots.held(token);
    if (outcome.isProved || !m_settings.needsEndProof) {
        m_slots.release(token);
    }
    // A slot that was freed before belongs to no generation: generations start at 1.
    learn(outcome, held ? held->generation : 0);
    Actions actions;
    fill(now, actions);
    return actions;
}

BackendDispatcher::Actions BackendDispatcher::onTimer(SteadyTime now)
{
    Actions actions;
    fill(now, actions);
    return actions;
}

std::optional<SteadyTime> BackendDispatcher::nextTimer() const
{
    std::optional<SteadyTime> due = m_slots.nextRelease();
    if (const auto deadline = m_queue.firstDeadline()) {
        const SteadyTime late = *deadline - expectedServiceTime();
        due = due ? std::min(*due, late) : late;
    }
    return due;
}

BackendDispatcher::Actions BackendDispatcher::refuseAll(const Reason &reason)
{
    Actions actions;
    for (const DispatchToken token : m_queue.takeAll()) {
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

ColdStart::Settings BackendDispatcher::coldSettings(const Settings &settings)
{
    ColdStart::Settings cold;
    cold.slots = settings.slots;
    cold.coldLimit = settings.coldLimit;
    cold.coldFactor = settings.coldFactor;
    cold.isGuarding = settings.appliesColdLimit;
    cold.holdsBySuccesses = settings.holdsColdBySuccesses;
    return cold;
}

bool BackendDispatcher::hasFreeSlot() const
{
    return m_slots.inUse() < static_cast<std::size_t>(m_coldStart.limit());
}

Duration BackendDispatcher::expectedServiceTime() const
{
    // An idle server is tried also where it seems too slow: only replies can show that it is not.
    const bool isIdle = m_slots.inUse() == 0;
    return isIdle || !m_settings.shedsLate ? Duration::zero() : m_coldStart.serviceTime();
}

bool BackendDispatcher::canMakeIt(const OwnerQueue::Entry &entry, SteadyTime now) const
{
    const auto rounds
        = static_cast<Duration::rep>(m_queue.position(entry) / m_coldStart.limit() + 1);
    return now + expectedServiceTime() * (rounds + 1) <= entry.deadline
        || expectedServiceTime() == Duration::zero();
}

void BackendDispatcher::learn(const Outcome &outcome, std::uint64_t generation)
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
        m_coldStart.onTrouble();
        break;
    case ResultCode::DeadlineExceeded:
    case ResultCode::BackendFailed:
    case ResultCode::WrongReply:
        if (outcome.isProved) {
            m_coldStart.onStopped(outcome.serviceTime, generation);
        } else {
            m_coldStart.onTrouble();
        }
        break;
    default:
        break;
    }
}

void BackendDispatcher::dispatch(DispatchToken token, SteadyTime deadline, SteadyTime now,
                                 Actions &actions)
{
    m_slots.take(token, {now, deadline + m_settings.grace, m_coldStart.generation()});
    actions.push_back(Dispatch {token});
}

void BackendDispatcher::fill(SteadyTime now, Actions &actions)
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
    for (const DispatchToken token : m_queue.takeExpired(now + expectedServiceTime())) {
        actions.push_back(Refuse {token, {ResultCode::NotRunDeadline, "it waited too long"}});
    }
}

} // namespace pimentoward
