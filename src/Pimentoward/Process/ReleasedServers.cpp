#include "Pimentoward/Process/ReleasedServers.h"

namespace pimentoward {

void ReleasedServers::onPublished(std::uint64_t sequence, const std::set<BackendServerId> &owned)
{
    for (const BackendServerId &id : m_owned) {
        if (owned.count(id) == 0) {
            m_releasedIn[id] = sequence;
        }
    }
    // Earlier reports do not apply to a backend server that is owned again.
    for (const BackendServerId &id : owned) {
        m_releasedIn.erase(id);
        m_idle.erase(id);
    }
    m_owned = owned;
}

void ReleasedServers::onReport(std::uint64_t sequence, const std::set<BackendServerId> &busy)
{
    for (auto entry = m_releasedIn.begin(); entry != m_releasedIn.end();) {
        const bool isIdle = sequence >= entry->second && busy.count(entry->first) == 0;
        if (!isIdle) {
            ++entry;
            continue;
        }
        m_idle.insert(entry->first);
        entry = m_releasedIn.erase(entry);
    }
}

bool ReleasedServers::isIdle(const BackendServerId &id) const
{
    return m_idle.count(id) > 0;
}

bool ReleasedServers::needsReport() const
{
    return !m_releasedIn.empty();
}

} // namespace pimentoward
