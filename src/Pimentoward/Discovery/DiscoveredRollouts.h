#pragma once

#include "Pimentoward/Discovery/KeyValueStore.h"
#include "Pimentoward/Discovery/RecordCodec.h"
#include "Pimentoward/Rollout/RolloutRecords.h"

namespace pimentoward {

/// Turns the store's records about roll-outs into the table of roll-outs: the operators' orders,
/// the status that VMs have written, and the VMs' reports. Apart from log lines, this class does no
/// input or output.
class DiscoveredRollouts
{
public:
    explicit DiscoveredRollouts(RolloutCodec codec);

    /// Applies a record that was written. Returns false if it is not about a roll-out.
    bool onWritten(const StoreItem &item, SteadyTime now);
    /// Applies the removal of a record. Returns false if it is not about a roll-out.
    bool onRemoved(const std::string &key);
    /// The current table. It is copied only after a change.
    RolloutTablePtr table();
    const RolloutCodec &codec() const { return m_codec; }

private:
    void applyOrder(const ServiceName &service, const StoreItem &item, SteadyTime now);
    void applyStatus(const ServiceName &service, const StoreItem &item);
    void applyReport(const StoreItem &item);
    void removeReport(const std::string &key);
    /// Drops the entry of a service about which nothing is known any more.
    void dropIfEmpty(const ServiceName &service);

    RolloutCodec m_codec;
    RolloutTable m_rollouts;
    RolloutTablePtr m_table = std::make_shared<const RolloutTable>();
    bool m_isChanged = false;
};

} // namespace pimentoward
