#pragma once

#include "Pimentoward/Discovery/FeedChooser.h"
#include "Pimentoward/Discovery/KeyValueStore.h"
#include "Pimentoward/Discovery/LimitSharingMembers.h"
#include "Pimentoward/Discovery/RecordCodec.h"
#include "Pimentoward/Version/BackendDirectory.h"
#include "Pimentoward/Version/RouteTable.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace pimentoward {

/// Decides what the records of the store put in force: settings that never go back, backend servers
/// in service, and the VMs that share limits. Does no input or output but for log lines.
class DiscoveredRecords
{
public:
    struct Settings
    {
        BackendDirectory::Settings directory;
        LimitSharingMembers::Settings members;
        /// Off in tests only: takes whatever version of the settings was written last.
        bool requiresNewerSettings = true;
    };

    /// What is in force; each is told only after a change.
    struct Hooks
    {
        std::function<void(RouteTablePtr)> onRoutes;
        std::function<void(BackendListPtr)> onBackends;
        std::function<void(std::vector<MemberId>)> onMembers;
    };

    /// Each VM's record as it is written, and its end.
    struct MemberHooks
    {
        std::function<void(const FeedChooser::Member &)> onMemberPresent;
        std::function<void(const MemberId &)> onMemberRemoved;
    };

    DiscoveredRecords(RecordCodec codec, const MemberId &self, const Settings &settings,
                      Hooks hooks, MemberHooks memberHooks);

    void onWritten(const StoreItem &item);
    void onRemoved(const std::string &key, SteadyTime now);
    /// The store was last seen failing at `time`.
    void onOutage(SteadyTime time) { m_directory.onOutage(time); }
    /// A VM's record, also where it was read apart from the others.
    void applyMember(const MemberId &member, const StoreItem &item);
    /// Tells what has changed up to now.
    void publish(SteadyTime now);
    /// When publish() next has something to tell though nothing comes from the store.
    std::optional<SteadyTime> nextChange() const;
    /// Version of the settings in force; 0 for none.
    Revision settingsVersion() const { return m_routes ? m_routes->version() : 0; }
    const RecordCodec &codec() const { return m_codec; }

private:
    void applyBackend(const BackendServerId &id, const StoreItem &item);
    void applyRoutes(const StoreItem &item);

    RecordCodec m_codec;
    bool m_requiresNewerSettings;
    Hooks m_hooks;
    MemberHooks m_memberHooks;
    BackendDirectory m_directory;
    LimitSharingMembers m_members;
    /// The newest settings document that has not been read yet.
    std::optional<StoreItem> m_pendingSettings;
    RouteTablePtr m_routes;
    BackendListPtr m_publishedBackends;
    std::vector<MemberId> m_publishedMembers;
};

} // namespace pimentoward
