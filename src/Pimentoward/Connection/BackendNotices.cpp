#include "Pimentoward/Connection/BackendNotices.h"

#include <algorithm>

namespace pimentoward {

BackendNotices::BackendNotices(std::size_t maxEntries)
    : m_maxEntries(std::max<std::size_t>(1, maxEntries))
{ }

void BackendNotices::onLeaving(const BackendRecord &record)
{
    entry(record).notice.isLeaving = true;
}

void BackendNotices::onPauseRequested(const BackendRecord &record, SteadyTime until)
{
    SteadyTime &pausedUntil = entry(record).notice.pausedUntil;
    pausedUntil = std::max(pausedUntil, until);
}

BackendNotice BackendNotices::notice(const BackendRecord &record) const
{
    const auto found = m_entries.find(record.id);
    if (found == m_entries.end()) {
        return {};
    }
    const Entry &entry = found->second;
    const bool isSameRun
        = entry.incarnation == record.incarnation && entry.address == record.address;
    return isSameRun ? entry.notice : BackendNotice();
}

BackendNotices::Entry &BackendNotices::entry(const BackendRecord &record)
{
    const auto [position, isNew] = m_entries.try_emplace(record.id);
    Entry &entry = position->second;
    if (isNew) {
        m_order.push_back(record.id);
        if (m_order.size() > m_maxEntries) {
            m_entries.erase(m_order.front());
            m_order.pop_front();
        }
    }
    if (entry.incarnation != record.incarnation || entry.address != record.address) {
        entry = {record.address, record.incarnation, {}};
    }
    return entry;
}

} // namespace pimentoward
