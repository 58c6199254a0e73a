#pragma once

#include "Pimentoward/Connection/OwnerQueue.h"
#include "Pimentoward/Core/Types.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pimentoward {

/// Slots of one backend server that dispatched subrequests hold. A slot is freed by a proof that
/// the work has ended, or once the deadline that the backend server enforces and a grace have
/// passed; never because nobody waits for the reply any more.
class SlotLimiter
{
public:
    /// One held slot.
    struct Held
    {
        SteadyTime dispatched {};
        /// When the slot is freed without a proof: deadline plus grace.
        SteadyTime freedAt {};
        /// The cold start (ColdStart::generation()) in which it was dispatched.
        std::uint64_t generation = 0;
    };

    /// Takes a slot for a subrequest that is being dispatched.
    void take(DispatchToken token, const Held &held);
    /// Frees the slot on proof; gives what was held, or nothing where it was freed before.
    std::optional<Held> release(DispatchToken token);
    /// Frees the slots whose deadline and grace have passed; returns how many.
    std::size_t releaseOverdue(SteadyTime now);
    /// What a dispatched subrequest holds.
    std::optional<Held> held(DispatchToken token) const;
    /// When releaseOverdue() next frees a slot.
    std::optional<SteadyTime> nextRelease() const;
    std::size_t inUse() const { return m_held.size(); }

private:
    std::unordered_map<DispatchToken, Held> m_held;
    std::set<std::pair<SteadyTime, DispatchToken>> m_byRelease;
};

} // namespace pimentoward
