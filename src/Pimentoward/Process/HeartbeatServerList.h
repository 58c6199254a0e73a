#pragma once

#include "Pimentoward/Core/Types.h"

#include <deque>
#include <string>
#include <vector>

namespace pimentoward {

/// Encodes sets of backend servers in heartbeats as bit strings over a sorted list of all backend
/// servers. Members may have different lists while a service changes, so the most recent earlier
/// lists are kept for decoding.
class HeartbeatServerList
{
public:
    /// Sets the current list. It need not be sorted.
    void update(std::vector<BackendServerId> servers);
    /// Returns the hash of the current list; 0 if there is none.
    std::uint32_t hash() const;
    /// Returns the bit string of a set, over the current list. Unknown backend servers are omitted.
    std::string toBits(const std::vector<BackendServerId> &servers) const;
    /// Returns true if the list with that hash is known.
    bool knows(std::uint32_t hash) const;
    /// Returns the set of a bit string, sorted; empty if the list with that hash is unknown.
    std::vector<BackendServerId> fromBits(std::uint32_t hash, const std::string &bits) const;

private:
    struct Known
    {
        std::uint32_t hash;
        std::vector<BackendServerId> servers;
    };

    /// Known lists, the current one first.
    std::deque<Known> m_known;
};

} // namespace pimentoward
