#pragma once

#include "Pimentoward/Core/Clock.h"
#include "Pimentoward/Discovery/KeyValueStore.h"
#include "Pimentoward/Discovery/RecordCodec.h"
#include "Pimentoward/Process/Timer.h"
#include "Pimentoward/Rollout/RolloutJudge.h"
#include "Pimentoward/Version/BackendDirectory.h"

#include <map>
#include <set>
#include <vector>

namespace pimentoward {

/// Writes the status of roll-outs, and this VM's reports on them, to the store. A status is written
/// on the condition that it has not changed since this VM read it. A write without an answer needs
/// no repetition of its own: it arrives with the other changes, or the next decision writes again.
/// Belongs to one task.
class RolloutWriter
{
public:
    struct Settings
    {
        RolloutJudge::Settings judge;
        MemberId self;
        /// The part of this VM's report keys after the service.
        std::string reportKeySuffix;
        /// Interval between decisions while a roll-out is open.
        Duration period = std::chrono::milliseconds(200);
    };

    RolloutWriter(event_base *loop, const Clock &clock, KeyValueStore &store, RolloutCodec codec,
                  const Settings &settings);

    void changeRollouts(RolloutTablePtr rollouts);
    void changeBackends(BackendListPtr backends) { m_backends = std::move(backends); }
    void changeMembers(std::vector<MemberId> members) { m_members = std::move(members); }
    /// Writes this VM's reports.
    void write(const std::vector<RolloutReport> &reports);

private:
    void decide();
    void writeStatus(const ServiceName &service, const Rollout &rollout,
                     const RolloutStatus &status);
    /// Removes the reports on a roll-out that is over.
    void removeReports(const ServiceName &service, const Rollout &rollout);
    bool hasTarget(const ServiceName &service, const Rollout &rollout) const;
    std::size_t rank(const ServiceName &service) const;

    const Clock &m_clock;
    KeyValueStore &m_store;
    RolloutCodec m_codec;
    Settings m_settings;
    RolloutJudge m_judge;
    RolloutTablePtr m_rollouts = std::make_shared<const RolloutTable>();
    BackendListPtr m_backends;
    std::vector<MemberId> m_members;
    /// Services for which a write of the status, or a removal of reports, has no answer yet.
    std::set<ServiceName> m_writing;
    Timer m_timer;
};

} // namespace pimentoward
