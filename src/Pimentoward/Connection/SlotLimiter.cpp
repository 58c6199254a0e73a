#include "Pimentoward/Connection/SlotLimiter.h"

#include <cassert>

namespace pimentoward {

void SlotLimiter::acquire(DispatchToken token, const HeldSlot &slot)
{
    assert(m_heldSlots.count(token) == 0);
    m_heldSlots.emplace(token, slot);
    m_byRelease.insert({slot.releaseAt, token});
}

std::optional<SlotLimiter::HeldSlot> SlotLimiter::release(DispatchToken token)
{
    const auto found = m_heldSlots.find(token);
    if (found == m_heldSlots.end()) {
        return std::nullopt;
    }
    const HeldSlot slot = found->second;
    m_byRelease.erase({slot.releaseAt, token});
    m_heldSlots.erase(found);
    return slot;
}

std::size_t SlotLimiter::releaseOverdue(SteadyTime now)
{
    std::size_t released = 0;
    while (!m_byRelease.empty() && m_byRelease.begin()->first <= now) {
        release(m_byRelease.begin()->second);
        ++released;
    }
    return released;
}

std::optional<SlotLimiter::HeldSlot> SlotLimiter::heldSlot(DispatchToken token) const
{
    const auto found = m_heldSlots.find(token);
    return found == m_heldSlots.end() ? std::nullopt : std::optional<HeldSlot>(found->second);
}

std::optional<SteadyTime> SlotLimiter::nextRelease() const
{
    if (m_byRelease.empty()) {
        return std::nullopt;
    }
    return m_byRelease.begin()->first;
}

} // namespace pimentoward
