#include "Pimentoward/Process/HeartbeatServerList.h"

#include <xxhash.h>

#include <algorithm>

namespace pimentoward {

namespace {

constexpr std::size_t maxLists = 8;
constexpr std::size_t bitsPerByte = 8;

std::uint32_t hashOf(const std::vector<BackendServerId> &servers)
{
    std::uint32_t hash = 0;
    for (const BackendServerId &id : servers) {
        hash = XXH32(id.data(), id.size(), hash);
    }
    return hash;
}

} // namespace

void HeartbeatServerList::update(std::vector<BackendServerId> servers)
{
    std::sort(servers.begin(), servers.end());
    const std::uint32_t newHash = hashOf(servers);
    if (!m_known.empty() && m_known.front().hash == newHash) {
        return;
    }
    m_known.push_front({newHash, std::move(servers)});
    if (m_known.size() > maxLists) {
        m_known.pop_back();
    }
}

std::uint32_t HeartbeatServerList::hash() const
{
    return m_known.empty() ? 0 : m_known.front().hash;
}

std::string HeartbeatServerList::toBits(const std::vector<BackendServerId> &servers) const
{
    std::string bits;
    if (m_known.empty()) {
        return bits;
    }
    const std::vector<BackendServerId> &all = m_known.front().servers;
    for (const BackendServerId &id : servers) {
        const auto found = std::lower_bound(all.begin(), all.end(), id);
        if (found == all.end() || *found != id) {
            continue;
        }
        const auto index = static_cast<std::size_t>(found - all.begin());
        // The string grows only as far as needed, so trailing zero bytes are not sent.
        bits.resize(std::max(bits.size(), index / bitsPerByte + 1), '\0');
        auto &byte = bits[index / bitsPerByte];
        byte = static_cast<char>(static_cast<unsigned char>(byte) | (1U << (index % bitsPerByte)));
    }
    return bits;
}

bool HeartbeatServerList::knows(std::uint32_t hash) const
{
    return std::any_of(m_known.begin(), m_known.end(),
                       [hash](const Known &known) { return known.hash == hash; });
}

std::vector<BackendServerId> HeartbeatServerList::fromBits(std::uint32_t hash,
                                                           const std::string &bits) const
{
    std::vector<BackendServerId> result;
    const auto known = std::find_if(m_known.begin(), m_known.end(),
                                    [hash](const Known &entry) { return entry.hash == hash; });
    if (known == m_known.end()) {
        return result;
    }
    const std::size_t end = std::min(known->servers.size(), bits.size() * bitsPerByte);
    for (std::size_t index = 0; index < end; ++index) {
        const auto byte = static_cast<unsigned char>(bits[index / bitsPerByte]);
        if (((byte >> (index % bitsPerByte)) & 1U) != 0) {
            result.push_back(known->servers[index]);
        }
    }
    return result;
}

} // namespace pimentoward
