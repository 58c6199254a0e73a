#include "standins/KeyValueModel.h"

namespace pimentoward::standins {

namespace {

bool hasPrefix(const std::string &key, const std::string &prefix)
{
    return key.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

KeyValueModel::KeyValueModel(const Settings &settings)
    : m_settings(settings)
{ }

const StoreItem *KeyValueModel::read(const std::string &key) const
{
    const auto found = m_items.find(key);
    return found == m_items.end() ? nullptr : &found->second;
}

StorePage KeyValueModel::range(const std::string &prefix, const std::string &after) const
{
    StorePage page;
    page.revision = m_revision;
    page.era = m_era;
    auto it = after.empty() ? m_items.lower_bound(prefix) : m_items.upper_bound(after);
    for (; it != m_items.end() && hasPrefix(it->first, prefix); ++it) {
        if (page.items.size() == m_settings.pageItems) {
            page.hasMore = true;
            break;
        }
        page.items.push_back(it->second);
    }
    return page;
}

std::optional<StoreChanges> KeyValueModel::changes(const std::string &prefix, Revision after) const
{
    if (after < m_historyStart || after > m_revision) {
        return std::nullopt;
    }
    StoreChanges changes;
    changes.revision = m_revision;
    changes.era = m_era;
    for (const Change &change : m_history) {
        if (change.event.item.revision > after && hasPrefix(change.event.item.key, prefix)) {
            changes.events.push_back(change.event);
        }
    }
    return changes;
}

std::optional<Revision> KeyValueModel::transact(const StoreTransaction &transaction,
                                                StoreError &error)
{
    for (const StoreTransaction::Condition &condition : transaction.conditions) {
        const StoreItem *item = read(condition.key);
        if ((item == nullptr ? 0 : item->revision) != condition.revision) {
            error = StoreError::Conflict;
            return std::nullopt;
        }
    }
    for (const StoreTransaction::Write &write : transaction.writes) {
        if (write.lease != 0 && m_leases.count(write.lease) == 0) {
            error = StoreError::NotFound;
            return std::nullopt;
        }
    }
    for (const StoreTransaction::Write &write : transaction.writes) {
        put(write.key, write.value, write.lease);
    }
    for (const std::string &key : transaction.removals) {
        remove(key);
    }
    return m_revision;
}

StoreLease KeyValueModel::grantLease(Duration timeToLive, SteadyTime now)
{
    ++m_lastLease;
    m_leases[m_lastLease] = {timeToLive, now + timeToLive};
    return {m_lastLease, timeToLive, m_era};
}

bool KeyValueModel::renewLease(LeaseId lease, SteadyTime now)
{
    const auto found = m_leases.find(lease);
    if (found == m_leases.end()) {
        return false;
    }
    found->second.endsAt = now + found->second.timeToLive;
    return true;
}

bool KeyValueModel::endLease(LeaseId lease)
{
    if (m_leases.erase(lease) == 0) {
        return false;
    }
    std::vector<std::string> keys;
    for (const auto &[key, item] : m_items) {
        if (item.lease == lease) {
            keys.push_back(key);
        }
    }
    for (const std::string &key : keys) {
        remove(key);
    }
    return true;
}

Revision KeyValueModel::put(const std::string &key, const std::string &value, LeaseId lease)
{
    ++m_revision;
    m_items[key] = {key, value, m_revision, lease};
    record({m_items[key], false});
    return m_revision;
}

void KeyValueModel::remove(const std::string &key)
{
    if (m_items.erase(key) == 0) {
        return;
    }
    ++m_revision;
    record({{key, "", m_revision, 0}, true});
}

void KeyValueModel::record(StoreEvent event)
{
    m_history.push_back({std::move(event), m_now});
}

void KeyValueModel::expire(SteadyTime now)
{
    m_now = now;
    std::vector<LeaseId> expired;
    for (const auto &[id, lease] : m_leases) {
        if (lease.endsAt <= now) {
            expired.push_back(id);
        }
    }
    for (const LeaseId id : expired) {
        endLease(id);
    }
    while (!m_history.empty() && m_history.front().time + m_settings.history < now) {
        m_historyStart = m_history.front().event.item.revision;
        m_history.pop_front();
    }
}

void KeyValueModel::restore(const KeyValueModel &copy)
{
    const StoreEra next = m_era + 1;
    *this = copy;
    m_era = next;
}

void KeyValueModel::dropHistory()
{
    m_history.clear();
    m_historyStart = m_revision;
}

} // namespace pimentoward::standins
