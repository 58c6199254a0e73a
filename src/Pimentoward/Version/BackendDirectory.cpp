#include "Pimentoward/Version/BackendDirectory.h"

#include <algorithm>

namespace pimentoward {

BackendDirectory::BackendDirectory()
    : BackendDirectory(Settings())
{ }

BackendDirectory::BackendDirectory(const Settings &settings)
    : m_settings(settings)
{ }

void BackendDirectory::onOutage(SteadyTime now)
{
    m_outageEnd = now;
}

void BackendDirectory::onWritten(const BackendServerId &id, std::optional<BackendRecord> record)
{
    m_list.reset();
    if (!record) {
        m_entries.erase(id);
        return;
    }
    m_entries[id] = {std::move(*record), std::nullopt};
}

void BackendDirectory::onRemoved(const BackendServerId &id, SteadyTime now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return;
    }
    if (m_outageEnd && now < *m_outageEnd + m_settings.outageGrace) {
        Entry &entry = found->second;
        entry.expiresAt = entry.expiresAt.value_or(*m_outageEnd + m_settings.outageGrace);
        return;
    }
    m_entries.erase(found);
    m_list.reset();
}

void BackendDirectory::onListed(const std::set<BackendServerId> &ids, SteadyTime now)
{
    std::vector<BackendServerId> removed;
    for (const auto &[id, entry] : m_entries) {
        if (ids.count(id) == 0) {
            removed.push_back(id);
        }
    }
    for (const BackendServerId &id : removed) {
        onRemoved(id, now);
    }
}

void BackendDirectory::setDomainOutOfService(const FailureDomain &domain, bool isOutOfService)
{
    if (isOutOfService) {
        m_domainsOutOfService.insert(domain);
    } else {
        m_domainsOutOfService.erase(domain);
    }
    m_list.reset();
}

bool BackendDirectory::expire(SteadyTime now)
{
    bool changed = false;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        const bool isDue = it->second.expiresAt && *it->second.expiresAt <= now;
        changed = changed || isDue;
        it = isDue ? m_entries.erase(it) : std::next(it);
    }
    if (changed) {
        m_list.reset();
    }
    return changed;
}

std::optional<SteadyTime> BackendDirectory::nextExpiry() const
{
    std::optional<SteadyTime> next;
    for (const auto &[id, entry] : m_entries) {
        if (entry.expiresAt) {
            next = std::min(next.value_or(*entry.expiresAt), *entry.expiresAt);
        }
    }
    return next;
}

BackendListPtr BackendDirectory::list()
{
    if (m_list) {
        return m_list;
    }
    auto list = std::make_shared<BackendList>();
    for (const auto &[id, entry] : m_entries) {
        const BackendRecord &record = entry.record;
        if (record.isLeaving || m_domainsOutOfService.count(record.failureDomain) > 0) {
            continue;
        }
        list->byService[record.service].push_back(record);
        ++list->size;
    }
    m_list = std::move(list);
    return m_list;
}

} // namespace pimentoward
