#include "Pimentoward/Process/ControlTaskServices.h"

namespace pimentoward {

namespace {

constexpr const char *servicePrefix = "service/";
constexpr std::chrono::milliseconds timerPeriod {500};
/// The keys are listed on every tenth timer tick, or on every tick until the first service is
/// known.
constexpr int ticksPerList = 10;
/// Time after which the store ends a watch call even if the key has not changed.
constexpr std::chrono::milliseconds watchTime {30'000};

} // namespace

ControlTaskServices::ControlTaskServices(event_base *loop, Store &store, ChangeHook onChange)
    : m_store(store)
    , m_onChange(std::move(onChange))
    , m_timer(loop, [this] {
        if (--m_ticksUntilList <= 0 || m_services.empty()) {
            listKeys();
        }
        watchUnwatchedKeys();
    })
{ }

void ControlTaskServices::start()
{
    listKeys();
    m_timer.startRepeating(timerPeriod);
}

void ControlTaskServices::listKeys()
{
    m_ticksUntilList = ticksPerList;
    m_store.list(servicePrefix, [this](const auto &keys, const Reason &) {
        if (!keys) {
            return;
        }
        for (const std::string &key : *keys) {
            m_revisions.emplace(key, 0);
        }
        watchUnwatchedKeys();
    });
}

void ControlTaskServices::watchUnwatchedKeys()
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
                          // The call failed or timed out. The next timer tick retries.
                          m_watched.erase(key);
                          return;
                      }
                      if (stored->revision > m_revisions[key]) {
                          applyEntry(key, *stored);
                      }
                      watch(key);
                  });
}

void ControlTaskServices::applyEntry(const std::string &key, const StoredValue &stored)
{
    m_revisions[key] = stored.revision;
    Reason reason;
    auto catalog = ServiceCatalog::parse(stored.value, reason);
    if (!catalog) {
        LOG4CPLUS_ERROR(m_log, "Ignored store entry " << key << ": " << reason.text);
        return;
    }
    const ServiceName name = catalog->name;
    m_services[name] = std::make_shared<const ServiceCatalog>(std::move(*catalog));
    LOG4CPLUS_INFO(m_log, "Read service " << name << " from the store");
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
