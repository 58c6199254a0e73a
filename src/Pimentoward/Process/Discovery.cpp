#include "Pimentoward/Process/Discovery.h"

#include "Pimentoward/Core/Log.h"

#include <algorithm>

namespace pimentoward {

namespace {

const log4cplus::Logger &discoveryLog()
{
    static const log4cplus::Logger log = Log::part("discovery");
    return log;
}

/// What follows `prefix` in `key`; nothing where the key begins otherwise.
std::optional<std::string> rest(const std::string &key, const std::string &prefix)
{
    if (key.compare(0, prefix.size(), prefix) != 0) {
        return std::nullopt;
    }
    return key.substr(prefix.size());
}

} // namespace

Discovery::Discovery(event_base *loop, const Clock &clock, KeyValueStore &store, RecordCodec codec,
                     const Settings &settings, Hooks hooks)
    : m_clock(clock)
    , m_store(store)
    , m_codec(std::move(codec))
    , m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_mirror(settings.mirror,
               {[this](const StoreItem &item) { onWritten(item); },
                [this](const std::string &key) { onRemoved(key); }, [this] { onOutage(); },
                [this] { onCurrent(); }})
    , m_registration(loop, store, settings.registration)
    , m_directory(settings.directory)
    , m_members(settings.self, settings.members)
    , m_askTimer(loop, [this] { ask(); })
    , m_expiryTimer(loop, [this] { publish(); })
{ }

void Discovery::start()
{
    m_registration.start();
    ask();
}

void Discovery::leave(std::function<void()> done)
{
    m_isLeaving = true;
    m_registration.leave(std::move(done));
}

void Discovery::ask()
{
    std::visit([this](const auto &step) { carryOut(step); }, m_mirror.next());
}

void Discovery::carryOut(const StoreMirror::List &list)
{
    m_store.range(m_settings.mirror.prefix, list.after,
                  [this](const std::optional<StorePage> &page, const StoreFailure &failure) {
                      if (page) {
                          m_mirror.onPage(*page);
                      } else {
                          onFailed(failure);
                      }
                      ask();
                  });
}

void Discovery::carryOut(const StoreMirror::Watch &watch)
{
    m_store.watch(m_settings.mirror.prefix, watch.after, m_settings.mirror.watchTime,
                  [this](const std::optional<StoreChanges> &changes, const StoreFailure &failure) {
                      if (changes) {
                          m_mirror.onChanges(*changes);
                      } else {
                          onFailed(failure);
                      }
                      ask();
                  });
}

void Discovery::carryOut(const StoreMirror::Pause &pause)
{
    m_askTimer.startOnce(pause.time);
}

void Discovery::onFailed(const StoreFailure &failure)
{
    if (!m_isStoreLost) {
        LOG4CPLUS_WARN(discoveryLog(),
                       "event=store-lost revision=" << m_mirror.revision() << " settings="
                                                    << (m_routes ? m_routes->version() : 0)
                                                    << " reason=\"" << failure.text << '"');
    }
    m_isStoreLost = true;
    m_mirror.onFailed(failure);
}

void Discovery::onOutage()
{
    m_directory.onOutage(m_clock.now());
}

void Discovery::onCurrent()
{
    if (m_isStoreLost) {
        LOG4CPLUS_INFO(discoveryLog(), "event=store-regained revision=" << m_mirror.revision());
    }
    m_isStoreLost = false;
    if (m_unreadSettings) {
        takeRoutes(*m_unreadSettings);
        m_unreadSettings.reset();
    }
    publish();
}

void Discovery::onWritten(const StoreItem &item)
{
    if (item.key == m_codec.settingsKey) {
        // Only the newest version of one answer is worth reading.
        m_unreadSettings = item;
    } else if (const auto id = rest(item.key, m_codec.backendPrefix)) {
        takeBackend(*id, item);
    } else if (const auto domain = rest(item.key, m_codec.domainOutPrefix)) {
        LOG4CPLUS_INFO(discoveryLog(),
                       "event=domain-out domain=" << *domain << " revision=" << item.revision);
        m_directory.onDomainOut(*domain, true);
    } else if (const auto member = rest(item.key, m_codec.memberPrefix)) {
        m_members.onPresent(*member);
    }
}

void Discovery::onRemoved(const std::string &key)
{
    if (const auto id = rest(key, m_codec.backendPrefix)) {
        LOG4CPLUS_INFO(discoveryLog(), "event=backend-gone backend=" << *id);
        m_directory.onRemoved(*id, m_clock.now());
    } else if (const auto domain = rest(key, m_codec.domainOutPrefix)) {
        LOG4CPLUS_INFO(discoveryLog(), "event=domain-back domain=" << *domain);
        m_directory.onDomainOut(*domain, false);
    } else if (const auto member = rest(key, m_codec.memberPrefix)) {
        LOG4CPLUS_INFO(discoveryLog(), "event=member-gone member=" << *member);
        m_members.onVanished(*member, m_clock.now());
        if (*member == m_settings.self) {
            m_registration.onVanished();
        }
    }
}

void Discovery::takeBackend(const BackendServerId &id, const StoreItem &item)
{
    Reason reason;
    std::optional<BackendRecord> record = m_codec.readBackend(id, item.value, reason);
    if (!record) {
        LOG4CPLUS_WARN(discoveryLog(),
                       "event=backend-unreadable backend=" << id << " revision=" << item.revision
                                                           << " reason=\"" << reason.text << '"');
    } else {
        LOG4CPLUS_INFO(discoveryLog(),
                       "event=backend backend=" << id << " service=" << record->service
                                                << " address=" << record->address.toString()
                                                << " domain=" << record->failureDomain
                                                << " leaving=" << record->isLeaving
                                                << " incarnation=" << record->incarnation
                                                << " revision=" << item.revision);
    }
    m_directory.onWritten(id, std::move(record));
}

void Discovery::takeRoutes(const StoreItem &item)
{
    Reason reason;
    RouteTablePtr routes = m_codec.readRoutes(item.value, reason);
    const Revision current = m_routes ? m_routes->version() : 0;
    if (!routes) {
        LOG4CPLUS_ERROR(discoveryLog(),
                        "event=settings-unreadable settings=" << current << " revision="
                                                              << item.revision << " reason=\""
                                                              << reason.text << '"');
        return;
    }
    if (m_routes && routes->version() <= current) {
        LOG4CPLUS_WARN(discoveryLog(),
                       "event=settings-older settings=" << current
                                                        << " offered=" << routes->version());
        return;
    }
    LOG4CPLUS_INFO(discoveryLog(),
                   "event=settings settings=" << routes->version() << " before=" << current
                                              << " routes=" << routes->routes().size());
    m_routes = std::move(routes);
    m_hooks.onRoutes(m_routes);
}

void Discovery::publish()
{
    const SteadyTime now = m_clock.now();
    m_directory.expire(now);
    const std::size_t members = m_members.count(now);
    startExpiryTimer();
    if (!m_mirror.isComplete()) {
        return;
    }
    if (BackendListPtr list = m_directory.list(); list != m_publishedBackends) {
        m_publishedBackends = list;
        m_hooks.onBackends(std::move(list));
    }
    if (members != m_publishedMembers) {
        LOG4CPLUS_INFO(discoveryLog(),
                       "event=members count=" << members << " before=" << m_publishedMembers);
        m_publishedMembers = members;
        m_hooks.onMembers(members);
    }
}

void Discovery::startExpiryTimer()
{
    std::optional<SteadyTime> next = m_directory.nextExpiry();
    if (const auto change = m_members.nextChange()) {
        next = std::min(next.value_or(*change), *change);
    }
    if (next) {
        m_expiryTimer.startOnce(std::max(*next - m_clock.now(), Duration::zero()));
    }
}

} // namespace pimentoward
