#pragma once

#include "Pimentoward/Connection/OwnerQueue.h"
#include "Pimentoward/Core/Types.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pimentoward {

/// The slots of one backend server that are held by dispatched subrequests. A slot is freed when
/// the work has provably ended, or when the deadline, which the backend server enforces, and a
/// grace period have passed. It is never freed merely because nobody waits for the reply any
/// longer.
class SlotLimiter
{
public:
    /// One slot in use.
    struct HeldSlot
    {
        SteadyTime dispatchedAt {};
        /// When the slot is freed without proof: the deadline plus the grace period.
        SteadyTime releaseAt {};
        /// The value of ColdStart::generation() at the time of the dispatch.
        std::uint64_t generation = 0;
    };

    /// Acquires a slot for a subrequest that is being dispatched.
    void acquire(DispatchToken token, const HeldSlot &slot);
    /// Frees the slot of a subrequest whose work has provably ended. Returns the slot, or nothing
    /// if it was freed earlier.
    std::optional<HeldSlot> release(DispatchToken token);
    /// Frees the slots whose deadline and grace period have passed. Returns their number.
    std::size_t releaseOverdue(SteadyTime now);
    /// Returns the slot that a dispatched subrequest holds, if any.
    std::optional<HeldSlot> heldSlot(DispatchToken token) const;
    /// Returns the time at which releaseOverdue() can free the next slot.
    std::optional<SteadyTime> nextRelease() const;
    /// Returns the number of slots in use.
    std::size_t inUse() const { return m_heldSlots.size(); }

private:
    std::unordered_map<DispatchToken, HeldSlot> m_heldSlots;
    std::set<std::pair<SteadyTime, DispatchToken>> m_byRelease;
};

} // namespace pimentoward
