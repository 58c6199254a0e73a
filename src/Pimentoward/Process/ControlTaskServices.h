#pragma once

#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Process/Store.h"
#include "Pimentoward/Process/Timer.h"
#include "Pimentoward/Version/ServiceCatalog.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace pimentoward {

/// Follows the services in the store: lists their keys now and then, and waits on each key by a
/// watch. What was read last stays in force while the store is down.
class ControlTaskServices
{
public:
    using ChangeHook = std::function<void()>;
    using Services = std::map<ServiceName, std::shared_ptr<const ServiceCatalog>>;

    /// `onChange` runs after each change, on the loop.
    ControlTaskServices(event_base *loop, Store &store, ChangeHook onChange);

    void start();
    const Services &services() const { return m_services; }
    /// Every backend server of every service, with its failure domain.
    std::map<BackendServerId, FailureDomain> backendServers() const;

private:
    void listKeys();
    void watchIdleKeys();
    void watch(const std::string &key);
    void take(const std::string &key, const StoredValue &stored);

    Store &m_store;
    ChangeHook m_onChange;
    Timer m_timer;
    Services m_services;
    /// Revision read last of each known key.
    std::map<std::string, Revision> m_revisions;
    std::set<std::string> m_watched;
    int m_turnsUntilList = 0;
    log4cplus::Logger m_log = Log::part("services");
};

} // namespace pimentoward
