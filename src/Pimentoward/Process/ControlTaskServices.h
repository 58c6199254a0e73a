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

/// Follows the service catalogs in the store: lists their keys periodically and watches each key
/// for changes. The catalogs read last stay in use while the store is unavailable.
class ControlTaskServices
{
public:
    using ChangeHook = std::function<void()>;
    using Services = std::map<ServiceName, std::shared_ptr<const ServiceCatalog>>;

    /// `onChange` runs on the loop after each change of a catalog.
    ControlTaskServices(event_base *loop, Store &store, ChangeHook onChange);

    /// Lists the keys at once and periodically from then on.
    void start();
    const Services &services() const { return m_services; }
    /// Returns the backend servers of all services, each with its failure domain.
    std::map<BackendServerId, FailureDomain> backendServers() const;

private:
    void listKeys();
    void watchUnwatchedKeys();
    void watch(const std::string &key);
    void applyEntry(const std::string &key, const StoredValue &stored);

    Store &m_store;
    ChangeHook m_onChange;
    Timer m_timer;
    Services m_services;
    /// The last revision read of each known key; 0 for a key that has not been read yet.
    std::map<std::string, Revision> m_revisions;
    /// Keys with a pending watch call.
    std::set<std::string> m_watched;
    int m_ticksUntilList = 0;
    log4cplus::Logger m_log = Log::part("services");
};

} // namespace pimentoward
