#pragma once

#include "Pimentoward/Process/SettingsHistory.h"
#include "Pimentoward/Process/Store.h"

#include <memory>

namespace pimentoward {

/// Adds change records to the history in the store, after the change itself is committed. A write
/// may be late or fail: each settings document contains its recent records, so a later write adds
/// those that were lost.
class SettingsHistoryWriter
{
public:
    static constexpr const char *storeKey = "settings-history";

    /// `store` must outlive this object.
    explicit SettingsHistoryWriter(Store &store);
    ~SettingsHistoryWriter();

    /// Queues records, and begins a write if none is running. If more than 1000 are queued and no
    /// write is running, the oldest are dropped.
    void record(const std::vector<SettingsChangeRecord> &records);
    /// Begins a write if records are queued and no write is running. Must be called about once a
    /// second.
    void tick();
    /// Returns the number of records that are not yet known to be in the store.
    std::size_t waiting() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace pimentoward
