#include "standins/PlatformStore.h"

namespace pimentoward::standins {

StoredValue PlatformStore::read(const std::string &key) const
{
    const auto found = m_values.find(key);
    return found == m_values.end() ? StoredValue {} : found->second;
}

std::vector<std::string> PlatformStore::keysWithPrefix(const std::string &prefix) const
{
    std::vector<std::string> keys;
    for (auto entry = m_values.lower_bound(prefix);
         entry != m_values.end() && entry->first.compare(0, prefix.size(), prefix) == 0; ++entry) {
        keys.push_back(entry->first);
    }
    return keys;
}

WriteOutcome PlatformStore::compareAndSwap(const std::string &key, Revision expected,
                                           const std::string &value)
{
    const Revision current = read(key).revision;
    if (current != expected) {
        return {WriteStatus::Conflict, current};
    }
    return {WriteStatus::Committed, put(key, value)};
}

Revision PlatformStore::put(const std::string &key, const std::string &value)
{
    // All keys share one counter, so that a key that is removed and created again cannot get a
    // revision that it has had before.
    m_values[key] = {value, ++m_lastRevision};
    m_onChange(key);
    return m_lastRevision;
}

} // namespace pimentoward::standins
