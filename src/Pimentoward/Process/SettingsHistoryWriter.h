#pragma once

#include "Pimentoward/Process/SettingsHistory.h"
#include "Pimentoward/Process/Store.h"

#include <memory>

namespace pimentoward {

/// Adds records to the history in the store. It works behind the settings and may lag or fail:
/// each document carries its last records, so that the next write makes a lost one good.
class SettingsHistoryWriter
{
public:
    static constexpr const char *storeKey = "settings-history";

    /// `store` must outlive this object.
    explicit SettingsHistoryWriter(Store &store);
    ~SettingsHistoryWriter();

    /// Takes records to be written.
    void record(const std::vector<SettingsChangeRecord> &records);
    /// Begins a try where records wait and none runs; to be called about once a second.
    void tick();
    /// Records that are not yet known to be in the store.
    std::size_t waiting() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace pimentoward
