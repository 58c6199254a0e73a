#pragma once

#include "Pimentoward/Core/Types.h"

#include <deque>
#include <string>
#include <vector>

namespace pimentoward {

/// The sorted lists of backend servers by which heartbeats name sets of them as bits. Members may
/// hold different lists while a service changes, so earlier lists stay readable for a while.
class HeartbeatServerList
{
public:
    /// Takes the present list; it is sorted here.
    void update(std::vector<BackendServerId> servers);
    /// Hash of the present list.
    std::uint32_t hash() const;
    /// The present list with this set's members as bits. Unknown backend servers are left out.
    std::string toBits(const std::vector<BackendServerId> &servers) const;
    /// True where the list of that hash is known.
    bool knows(std::uint32_t hash) const;
    /// The set, sorted; empty where the list is unknown.
    std::vector<BackendServerId> fromBits(std::uint32_t hash, const std::string &bits) const;

private:
    struct Known
    {
        std::uint32_t hash;
        std::vector<BackendServerId> servers;
    };

    /// The present list first.
    std::deque<Known> m_known;
};

} // namespace pimentoward
