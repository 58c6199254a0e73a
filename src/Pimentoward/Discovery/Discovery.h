#pragma once

#include "Pimentoward/Core/Clock.h"
#include "Pimentoward/Discovery/DiscoveredRecords.h"
#include "Pimentoward/Discovery/FeedChooser.h"
#include "Pimentoward/Discovery/FeedClient.h"
#include "Pimentoward/Discovery/FeedServer.h"
#include "Pimentoward/Discovery/KeyValueStore.h"
#include "Pimentoward/Discovery/Registration.h"
#include "Pimentoward/Discovery/StoreCopy.h"
#include "Pimentoward/Discovery/StoreMirror.h"
#include "Pimentoward/Process/Timer.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace pimentoward {

/// Learns settings, backend servers and other VMs from the store or from VMs that know it, hands on
/// what it has learned, and tells what is in force. Belongs to one task.
class Discovery
{
public:
    struct Settings
    {
        /// Whom to runNextStep; also this VM's name, failure domain and address for others.
        FeedChooser::Settings feed;
        /// Longest time that a call waits for changes where VMs hand them on: bounds how old
        /// knowledge gets unnoticed on its way.
        Duration relayedWatchTime = std::chrono::milliseconds(1500);
        StoreMirror::Settings mirror;
        Registration::Settings registration;
        DiscoveredRecords::Settings records;
    };

    Discovery(event_base *loop, const Clock &clock, KeyValueStore &store, RecordCodec codec,
              const Settings &settings, DiscoveredRecords::Hooks hooks);

    /// Binds the address for other VMs; false with InvalidSetting in `reason` where that fails.
    bool listen(Reason &reason);
    void start();
    /// Removes this VM from the list of those that share limits.
    void leave(std::function<void()> done);

private:
    static Registration::Settings registrationSettings(const Settings &settings);
    /// Asks the store which VMs there are while the list begins, so that many VMs that start at
    /// once leave the rest of it to a few.
    void listMembers(const std::string &after);
    void runNextStep();
    void execute(const StoreMirror::List &list);
    void execute(const StoreMirror::Watch &watch);
    void execute(const StoreMirror::Pause &pause);
    void listFromVm(const Address &vm, const std::string &after);
    void watchFromVm(const Address &vm, Revision after, Duration wait);
    void onStoreAnswered();
    void onStoreFailed(const StoreFailure &failure);
    /// A VM has answered with knowledge of this age; false where it is older than this VM's own.
    bool updateFreshness(const Address &vm, const FeedFreshness &freshness, Revision revision);
    void onVmFailed(const Address &vm, const StoreFailure &failure);
    FeedFreshness freshness() const;
    void onOutage();
    void onCaughtUp(bool isList);
    void logSource(const FeedChooser::Choice &choice);
    void onMemberRemoved(const MemberId &member);
    void publish();

    const Clock &m_clock;
    KeyValueStore &m_store;
    Settings m_settings;
    DiscoveredRecords m_records;
    StoreMirror m_mirror;
    Registration m_registration;
    StoreCopy m_copy;
    FeedChooser m_chooser;
    FeedClient m_feedClient;
    FeedServer m_feedServer;
    /// Whom the last call asked; nothing for the store itself.
    std::optional<Address> m_lastSourceVm;
    std::string m_lastLoggedSource;
    /// When this VM's knowledge was the store's at last.
    SteadyTime m_upToDateAt {};
    /// When the store was last seen failing, here or where this VM learns from.
    std::optional<SteadyTime> m_outageAt;
    bool m_isStoreLost = false;
    Timer m_stepTimer;
    Timer m_expiryTimer;
};

} // namespace pimentoward
