#pragma once

#include "Pimentoward/Discovery/DiscoveredRollouts.h"
#include "Pimentoward/Discovery/FeedChooser.h"
#include "Pimentoward/Discovery/KeyValueStore.h"
#include "Pimentoward/Discovery/LimitSharingMembers.h"
#include "Pimentoward/Discovery/RecordCodec.h"
#include "Pimentoward/Version/BackendDirectory.h"
#include "Pimentoward/Version/RouteTable.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pimentoward {

/// A kind of record of the store.
enum class RecordKind { StoreEntry, BackendServer, Vm, Settings };

/// Turns the records of the store into the state in force: the settings, the backend servers in
/// service, and the VMs that share limits. The revision of the settings only increases. Apart from
/// log lines, this class does no input or output.
class DiscoveredRecords
{
public:
    struct Settings
    {
        BackendDirectory::Settings directory;
        LimitSharingMembers::Settings members;
        /// Rejects settings whose revision is not newer than the one in force. Only tests switch
        /// this off; the settings written last then apply even if they are older.
        bool requiresNewerSettings = true;
        /// How long a failure domain stays out of service after the store has come back from a copy
        /// that lacks the operators' key for it. They write it again within this time.
        Duration restoreGrace = std::chrono::seconds(5);
    };

    /// Hooks that receive the state in force. Each one runs only after its part of the state has
    /// changed.
    struct Hooks
    {
        std::function<void(RouteTablePtr)> onRoutes;
        std::function<void(BackendListPtr)> onBackends;
        std::function<void(std::vector<MemberId>)> onMembers;
        /// Receives the number of records that were read and cannot be used. May be empty.
        std::function<void(RecordKind, std::size_t)> onUnusable {};
        std::function<void(RolloutTablePtr)> onRollouts {};
    };

    /// Hooks that receive the record of each VM when it is written, and the VM's ID when its record
    /// is removed.
    struct MemberHooks
    {
        std::function<void(const FeedChooser::Member &)> onMemberPresent;
        std::function<void(const MemberId &)> onMemberRemoved;
    };

    DiscoveredRecords(RecordCodec codec, const MemberId &self, const Settings &settings,
                      Hooks hooks, MemberHooks memberHooks);

    /// Applies a record that was written to the store.
    void onWritten(const StoreItem &item, SteadyTime now);
    /// Applies the removal of a record from the store.
    void onRemoved(const std::string &key, SteadyTime now);
    /// Reports that the store was last seen failing at `time`.
    void onOutage(SteadyTime time) { m_directory.onOutage(time); }
    /// Reports that `count` entries of the store's answer could not be used.
    void onLeftOut(std::size_t count) { reportUnusable(RecordKind::StoreEntry, count); }
    /// Reports that the store has come back from a copy some seconds old and will be listed.
    /// Records that the copy lacks are used for a while, because their writers write them again.
    void onRestored() { m_isListingRestored = true; }
    /// Reports the end of a full listing.
    void onListed() { m_isListingRestored = false; }
    /// Applies the record of one VM. Discovery also calls this for records that it has read outside
    /// the mirror.
    void applyMember(const MemberId &member, const StoreItem &item);
    /// Runs the hooks for everything that has changed up to `now`.
    void publish(SteadyTime now);
    /// Returns when publish() next has a change to report even if no record changes.
    std::optional<SteadyTime> nextChange() const;
    /// Revision of the settings in force; 0 if there are none.
    Revision settingsRevision() const { return m_routes ? m_routes->revision() : 0; }
    const RecordCodec &codec() const { return m_codec; }

private:
    void applyBackend(const BackendServerId &id, const StoreItem &item);
    void applyRoutes(const StoreItem &item);
    void putBackIntoService(const FailureDomain &domain);
    /// Puts domains back whose key was lost with a copy of the store and not written again in time.
    void expireDomains(SteadyTime now);
    void reportUnusable(RecordKind kind, std::size_t count);

    RecordCodec m_codec;
    bool m_requiresNewerSettings;
    Duration m_restoreGrace;
    bool m_isListingRestored = false;
    /// Failure domains whose key the store has lost with a copy, and until when they stay out.
    std::map<FailureDomain, SteadyTime> m_domainsHeldOut;
    Hooks m_hooks;
    MemberHooks m_memberHooks;
    BackendDirectory m_directory;
    DiscoveredRollouts m_rollouts;
    LimitSharingMembers m_members;
    /// The newest settings document, until publish() reads it.
    std::optional<StoreItem> m_pendingSettings;
    RouteTablePtr m_routes;
    BackendListPtr m_publishedBackends;
    std::vector<MemberId> m_publishedMembers;
    RolloutTablePtr m_publishedRollouts;
};

} // namespace pimentoward
