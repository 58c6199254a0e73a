#pragma once

#include "Pimentoward/Core/Clock.h"
#include "Pimentoward/Discovery/DiscoveredRecords.h"
#include "Pimentoward/Discovery/FeedChooser.h"
#include "Pimentoward/Discovery/FeedClient.h"
#include "Pimentoward/Discovery/FeedServer.h"
#include "Pimentoward/Discovery/KeyValueStore.h"
#include "Pimentoward/Discovery/Registration.h"
#include "Pimentoward/Discovery/RolloutWriter.h"
#include "Pimentoward/Discovery/StoreCopy.h"
#include "Pimentoward/Discovery/StoreMirror.h"
#include "Pimentoward/Discovery/VmView.h"
#include "Pimentoward/Process/Timer.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pimentoward {

/// Follows the settings, the backend servers and the VMs of the tier, either in the store or in
/// another VM's copy of it. Serves its own copy to other VMs and reports the state in force through
/// the hooks. Belongs to one task.
class Discovery
{
public:
    struct Settings
    {
        /// How the source of the data is chosen; also this VM's name, its failure domain and the
        /// address at which other VMs reach it.
        FeedChooser::Settings feed;
        /// Maximum time that a watch waits for changes while VMs relay them to each other. It
        /// bounds how far the data can age unnoticed at each VM that relays it.
        Duration relayedWatchTime = std::chrono::milliseconds(1500);
        StoreMirror::Settings mirror;
        /// The records may be outdated if the store has not confirmed them for this time longer
        /// than a watch without changes takes.
        Duration outdatedMargin = std::chrono::milliseconds(300);
        Registration::Settings registration;
        DiscoveredRecords::Settings records;
        RolloutWriter::Settings rollouts;
    };

    /// Receives whether the records may be outdated, each time that changes.
    using OutdatedHook = std::function<void(bool areOutdated)>;

    Discovery(event_base *loop, const Clock &clock, KeyValueStore &store, RecordCodec codec,
              const Settings &settings, DiscoveredRecords::Hooks hooks, OutdatedHook onOutdated);

    /// Sets a hook that receives the VMs whose records are in the store, each time the list has
    /// changed or is known to match the store still. Must be called before start().
    void setVmsHook(std::function<void(const VmView &)> hook) { m_onVms = std::move(hook); }
    /// Binds the address for other VMs. Returns false, with InvalidSetting in `reason`, if that
    /// fails.
    bool listen(Reason &reason);
    /// Registers this VM and starts to follow the store.
    void start();
    /// Removes this VM's record from the store, so that the VM leaves the list of VMs that share
    /// limits. `done` runs as for Registration::leave().
    void leave(std::function<void()> done);
    /// Writes this VM's reports on roll-outs to the store.
    void write(const std::vector<RolloutReport> &reports) { m_rolloutWriter.write(reports); }

private:
    /// Hooks that inform the writer of roll-outs and then run `hooks`.
    DiscoveredRecords::Hooks observed(DiscoveredRecords::Hooks hooks);
    static Registration::Settings registrationSettings(const Settings &settings);
    /// Lists only the VMs of the tier in the store, at the same time as the full listing starts.
    /// VMs that start together learn of each other early this way, and only a few of them read the
    /// other records from the store.
    void listMembers(const std::string &after);
    /// Executes the next step of the mirror.
    void runNextStep();
    void execute(const StoreMirror::List &list);
    void execute(const StoreMirror::Watch &watch);
    void execute(const StoreMirror::Pause &pause);
    void listFromVm(const Address &vm, const std::string &after);
    void watchFromVm(const Address &vm, Revision after, Duration wait);
    void onStoreAnswered();
    /// If the store's answer is older than this VM's copy, reports the call as failed and returns
    /// true. A lower revision without a higher era is no copy that the store came back from.
    bool isStoreBehind(const StorePosition &position);
    void onEra(StoreEra era, bool isRestored);
    void onKeyRemoved(const std::string &key, Revision revision);
    void onStoreFailed(const StoreFailure &failure);
    /// Records the freshness that a VM stated in its answer. If the VM's copy is older than this
    /// VM's own, reports the call as failed and returns false.
    bool updateFreshness(const Address &vm, const FeedFreshness &freshness,
                         const StorePosition &position);
    void onVmFailed(const Address &vm, const StoreFailure &failure);
    FeedFreshness freshness() const;
    /// Reports a change of whether the records may be outdated.
    void checkAge();
    void onOutage();
    void onCaughtUp(bool isList);
    void logSource(const FeedChooser::Choice &choice);
    void onMemberPresent(const FeedChooser::Member &member);
    void onMemberRemoved(const MemberId &member);
    void publish();
    /// Reports the VMs in the store, unless nothing new is known of them.
    void publishVms();

    const Clock &m_clock;
    KeyValueStore &m_store;
    Settings m_settings;
    DiscoveredRecords m_records;
    RolloutWriter m_rolloutWriter;
    StoreMirror m_mirror;
    Registration m_registration;
    StoreCopy m_copy;
    FeedChooser m_chooser;
    FeedClient m_feedClient;
    FeedServer m_feedServer;
    /// The VM that the last call went to; nothing if it went to the store.
    std::optional<Address> m_lastSourceVm;
    std::string m_lastLoggedSource;
    /// The latest time at which this VM's copy was known to match the store.
    SteadyTime m_upToDateAt {};
    /// When the store was last seen failing, by this VM or by a VM that it follows.
    std::optional<SteadyTime> m_outageAt;
    /// True from a failed call to the store until the next time that all changes in an answer have
    /// been applied.
    bool m_isStoreLost = false;
    Timer m_stepTimer;
    Timer m_expiryTimer;
    OutdatedHook m_onOutdated;
    Timer m_ageTimer;
    bool m_areRecordsOutdated = true;
    std::function<void(const VmView &)> m_onVms;
    std::map<MemberId, FeedChooser::Member> m_vms;
    bool m_haveVmsChanged = true;
    VmView m_vmView;
};

} // namespace pimentoward
