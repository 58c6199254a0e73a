#pragma once

#include "Pimentoward/Core/Clock.h"
#include "Pimentoward/Process/KeyValueStore.h"
#include "Pimentoward/Process/Registration.h"
#include "Pimentoward/Process/SharedMembers.h"
#include "Pimentoward/Process/StoreMirror.h"
#include "Pimentoward/Process/Timer.h"
#include "Pimentoward/Version/BackendDirectory.h"
#include "Pimentoward/Version/RouteTable.h"

#include <functional>
#include <optional>
#include <string>

namespace pimentoward {

/// Where the deployment's records stand in the store, and how they are read.
struct RecordCodec
{
    /// The key of the operators' settings.
    std::string settingsKey;
    /// Backend servers stand below it, each under its id.
    std::string backendPrefix;
    /// Failure domains that are taken out of service stand below it.
    std::string domainOutPrefix;
    /// VMs of the tier stand below it.
    std::string memberPrefix;
    /// Nothing and a reason where a record cannot be understood.
    std::function<std::optional<BackendRecord>(const BackendServerId &, const std::string &value,
                                               Reason &)>
        readBackend;
    std::function<RouteTablePtr(const std::string &value, Reason &)> readRoutes;
};

/// Learns settings, backend servers and other VMs from the store, and tells what is in force.
/// Belongs to one task.
class Discovery
{
public:
    struct Settings
    {
        MemberId self;
        /// What other VMs may learn of this one.
        std::string memberValue;
        StoreMirror::Settings mirror;
        Registration::Settings registration;
        BackendDirectory::Settings directory;
        SharedMembers::Settings members;
    };

    /// Each is told only after a change.
    struct Hooks
    {
        std::function<void(RouteTablePtr)> onRoutes;
        std::function<void(BackendListPtr)> onBackends;
        std::function<void(std::size_t)> onMembers;
    };

    Discovery(event_base *loop, const Clock &clock, KeyValueStore &store, RecordCodec codec,
              const Settings &settings, Hooks hooks);

    void start();
    /// Removes this VM from the list of those that share limits.
    void leave(std::function<void()> done);

private:
    void ask();
    void carryOut(const StoreMirror::List &list);
    void carryOut(const StoreMirror::Watch &watch);
    void carryOut(const StoreMirror::Pause &pause);
    void onFailed(const StoreFailure &failure);
    void onWritten(const StoreItem &item);
    void onRemoved(const std::string &key);
    void onOutage();
    void onCurrent();
    void takeBackend(const BackendServerId &id, const StoreItem &item);
    void takeRoutes(const StoreItem &item);
    void publish();
    void startExpiryTimer();

    const Clock &m_clock;
    KeyValueStore &m_store;
    RecordCodec m_codec;
    Settings m_settings;
    Hooks m_hooks;
    StoreMirror m_mirror;
    Registration m_registration;
    BackendDirectory m_directory;
    SharedMembers m_members;
    /// The newest settings document that has not been read yet.
    std::optional<StoreItem> m_unreadSettings;
    RouteTablePtr m_routes;
    BackendListPtr m_publishedBackends;
    std::size_t m_publishedMembers = 0;
    bool m_isStoreLost = false;
    bool m_isLeaving = false;
    Timer m_askTimer;
    Timer m_expiryTimer;
};

} // namespace pimentoward
