#include "Pimentoward/Connection/SlotLimiter.h"

#include <cassert>

namespace pimentoward {

void SlotLimiter::take(DispatchToken token, const Held &held)
{
    assert(m_held.count(token) == 0);
    m_held.emplace(token, held);
    m_byRelease.insert({held.freedAt, token});
}

std::optional<SlotLimiter::Held> SlotLimiter::release(DispatchToken token)
{
    const auto found = m_held.find(token);
    if (found == m_held.end()) {
        return std::nullopt;
    }
    const Held held = found->second;
    m_byRelease.erase({held.freedAt, token});
    m_held.erase(found);
    return held;
}

std::size_t SlotLimiter::releaseOverdue(SteadyTime now)
{
    std::size_t freed = 0;
    while (!m_byRelease.empty() && m_byRelease.begin()->first <= now) {
        release(m_byRelease.begin()->second);
        ++freed;
    }
    return freed;
}

std::optional<SlotLimiter::Held> SlotLimiter::held(DispatchToken token) const
{
    const auto found = m_held.find(token);
    return found == m_held.end() ? std::nullopt : std::optional<Held>(found->second);
}

std::optional<SteadyTime> SlotLimiter::nextRelease() const
{
    if (m_byRelease.empty()) {
        return std::nullopt;
    }
    return m_byRelease.begin()->first;
}

} // namespace pimentoward
