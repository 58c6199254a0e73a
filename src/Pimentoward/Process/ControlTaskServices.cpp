#include "Pimentoward/Process/ControlTaskServices.h"

namespace pimentoward {

namespace {

constexpr const char *servicePrefix = "service/";
constexpr std::chrono::milliseconds turnTime {500};
/// The list of keys is read every tenth turn, or every turn until the first service is known.
constexpr int turnsPerList = 10;
constexpr std::chrono::milliseconds watchTime {30'000};

} // namespace

ControlTaskServices::ControlTaskServices(event_base *loop, Store &store, ChangeHook onChange)
    : m_store(store)
    , m_onChange(std::move(onChange))
    , m_timer(loop, [this] {
        if (--m_turnsUntilList <= 0 || m_services.empty()) {
            listKeys();
        }
        watchIdleKeys();
    })
{ }

void ControlTaskServices::start()
{
    listKeys();
    m_timer.startRepeating(turnTime);
}

void ControlTaskServices::listKeys()
{
    m_turnsUntilList = turnsPerList;
    m_store.list(servicePrefix, [this](const auto &keys, const Reason &) {
        if (!keys) {
            return;
        }
        for (const std::string &key : *keys) {
            m_revisions.emplace(key, 0);
        }
        watchIdleKeys();
    });
}

void ControlTaskServices::watchIdleKeys()
{
    for (const auto &[key, revision] : m_revisions) {
        if (m_watched.insert(key).second) {
            watch(key);
        }
    }
}

void ControlTaskServices::watch(const std::string &key)
{
    m_store.watch(key, m_revisions[key], watchTime,
                  [this, key](const auto &stored, const Reason &) {
                      if (!stored) {
                          // The store is down or slow: the timer tries again.
                          m_watched.erase(key);
                          return;
                      }
                      if (stored->revision > m_revisions[key]) {
                          take(key, *stored);
                      }
                      watch(key);
                  });
}

void ControlTaskServices::take(const std::string &key, const StoredValue &stored)
{
    m_revisions[key] = stored.revision;
    Reason reason;
    auto catalog = ServiceCatalog::parse(stored.value, reason);
    if (!catalog) {
        LOG4CPLUS_ERROR(m_log, "Entry " << key << " not used: " << reason.text);
        return;
    }
    const ServiceName name = catalog->name;
    m_services[name] = std::make_shared<const ServiceCatalog>(std::move(*catalog));
    LOG4CPLUS_INFO(m_log, "Service " << name << " read");
    m_onChange();
}

std::map<BackendServerId, FailureDomain> ControlTaskServices::backendServers() const
{
    std::map<BackendServerId, FailureDomain> result;
    for (const auto &[name, catalog] : m_services) {
        for (const auto &[id, server] : catalog->backendServers) {
            result[id] = server.failureDomain;
        }
    }
    return result;
}

} // namespace pimentoward
