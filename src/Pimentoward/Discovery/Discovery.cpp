#include "Pimentoward/Discovery/Discovery.h"

#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Discovery/MemberAnnouncement.h"

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
                [this](const std::string &key, Revision revision) { onRemoved(key, revision); },
                [this] { onOutage(); }, [this](bool isList) { onCurrent(isList); }})
    , m_registration(loop, store, registrationSettings(settings))
    , m_directory(settings.directory)
    , m_members(settings.feed.self, settings.members)
    , m_chooser(settings.feed)
    , m_feedClient(loop)
    , m_feedServer(loop, clock, m_copy, [this] { return freshness(); })
    , m_askTimer(loop, [this] { ask(); })
    , m_expiryTimer(loop, [this] { publish(); })
{ }

Registration::Settings Discovery::registrationSettings(const Settings &settings)
{
    Registration::Settings registration = settings.registration;
    registration.value = encodeMember({settings.feed.self, settings.feed.failureDomain,
                                       settings.feed.address, settings.feed.capacity});
    return registration;
}

bool Discovery::listen(Reason &reason)
{
    return m_feedServer.listen(m_settings.feed.address, reason);
}

void Discovery::start()
{
    m_registration.start();
    takeCensus("");
    ask();
}

void Discovery::takeCensus(const std::string &after)
{
    m_store.range(m_codec.memberPrefix, after,
                  [this](const std::optional<StorePage> &page, const StoreFailure &failure) {
                      if (!page) {
                          LOG4CPLUS_WARN(discoveryLog(),
                                         "event=no-census reason=\"" << failure.text << '"');
                          return;
                      }
                      for (const StoreItem &item : page->items) {
                          takeMember(item.key.substr(m_codec.memberPrefix.size()), item);
                      }
                      if (page->hasMore && !page->items.empty()) {
                          takeCensus(page->items.back().key);
                      }
                  });
}

void Discovery::leave(std::function<void()> done)
{
    m_registration.leave(std::move(done));
}

void Discovery::ask()
{
    std::visit([this](const auto &step) { carryOut(step); }, m_mirror.next());
}

void Discovery::logChoice(const FeedChooser::Choice &choice)
{
    const std::string whom = choice.vm ? choice.vm->toString() : "store";
    if (whom != m_lastChoice) {
        LOG4CPLUS_INFO(discoveryLog(),
                       "event=source source=" << whom << " before=" << m_lastChoice
                                              << " revision=" << m_mirror.revision() << " reason=\""
                                              << choice.why << '"');
    }
    m_lastChoice = whom;
}

void Discovery::carryOut(const StoreMirror::List &list)
{
    const FeedChooser::Choice choice = m_chooser.choose(m_clock.now());
    logChoice(choice);
    m_asked = choice.vm;
    if (choice.vm) {
        listFrom(*choice.vm, list.after);
        return;
    }
    m_store.range(m_settings.mirror.prefix, list.after,
                  [this](const std::optional<StorePage> &page, const StoreFailure &failure) {
                      if (page) {
                          onStoreAnswered();
                          m_mirror.onPage(*page);
                      } else {
                          onFailed(failure);
                      }
                      ask();
                  });
}

void Discovery::carryOut(const StoreMirror::Watch &watch)
{
    const FeedChooser::Choice choice = m_chooser.choose(m_clock.now());
    logChoice(choice);
    m_asked = choice.vm;
    const Duration wait
        = m_chooser.isRelaying() ? m_settings.relayedWatchTime : m_settings.mirror.watchTime;
    if (choice.vm) {
        watchFrom(*choice.vm, watch.after, wait);
        return;
    }
    m_store.watch(m_settings.mirror.prefix, watch.after, wait,
                  [this](const std::optional<StoreChanges> &changes, const StoreFailure &failure) {
                      if (changes) {
                          onStoreAnswered();
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

void Discovery::listFrom(const Address &vm, const std::string &after)
{
    m_feedClient.range(
        vm, after, [this, vm](const std::optional<FeedPage> &page, const StoreFailure &failure) {
            if (!page) {
                onVmFailed(vm, failure);
            } else if (takeFreshness(vm, page->freshness, page->page.revision)) {
                m_mirror.onPage(page->page);
            }
            ask();
        });
}

void Discovery::watchFrom(const Address &vm, Revision after, Duration wait)
{
    m_feedClient.watch(
        vm, after, wait,
        [this, vm](const std::optional<FeedChanges> &changes, const StoreFailure &failure) {
            if (!changes) {
                onVmFailed(vm, failure);
            } else if (takeFreshness(vm, changes->freshness, changes->changes.revision)) {
                m_mirror.onChanges(changes->changes);
            }
            ask();
        });
}

void Discovery::onStoreAnswered()
{
    m_knownAt = m_clock.now();
    m_chooser.onStore(true, m_knownAt);
}

bool Discovery::takeFreshness(const Address &vm, const FeedFreshness &freshness, Revision revision)
{
    const SteadyTime now = m_clock.now();
    m_chooser.onAnswered(vm, freshness.age, now);
    if (freshness.sinceOutage) {
        const SteadyTime outageAt = now - *freshness.sinceOutage;
        m_outageAt = std::max(m_outageAt.value_or(outageAt), outageAt);
        m_directory.onOutage(*m_outageAt);
    }
    if (revision < m_mirror.revision()) {
        onVmFailed(vm, {StoreError::Refused, "VM knows less than this one"});
        return false;
    }
    m_knownAt = std::max(m_knownAt, now - freshness.age);
    return true;
}

void Discovery::onVmFailed(const Address &vm, const StoreFailure &failure)
{
    if (failure.error == StoreError::Refused) {
        m_chooser.onUnready(vm, m_clock.now());
    } else if (failure.error != StoreError::HistoryGone) {
        m_chooser.onFailed(vm, m_clock.now());
    }
    LOG4CPLUS_INFO(discoveryLog(),
                   "event=vm-not-followed vm=" << vm.toString()
                                               << " revision=" << m_mirror.revision()
                                               << " reason=\"" << failure.text << '"');
    m_mirror.onFailed(failure);
}

FeedFreshness Discovery::freshness() const
{
    const SteadyTime now = m_clock.now();
    FeedFreshness freshness;
    freshness.age = now - m_knownAt;
    if (m_outageAt) {
        freshness.sinceOutage = now - *m_outageAt;
    }
    return freshness;
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
    m_chooser.onStore(false, m_clock.now());
    m_mirror.onFailed(failure);
}

void Discovery::onOutage()
{
    if (m_asked) {
        // Another VM failed, which says nothing of the store.
        return;
    }
    m_outageAt = m_clock.now();
    m_directory.onOutage(*m_outageAt);
}

void Discovery::onCurrent(bool isList)
{
    if (m_isStoreLost) {
        LOG4CPLUS_INFO(discoveryLog(), "event=store-regained revision=" << m_mirror.revision());
    }
    m_isStoreLost = false;
    if (isList) {
        m_copy.forgetHistory(m_mirror.revision());
    }
    m_copy.onCurrent(m_mirror.revision());
    m_feedServer.onChanged();
    if (m_unreadSettings) {
        takeRoutes(*m_unreadSettings);
        m_unreadSettings.reset();
    }
    publish();
}

void Discovery::onWritten(const StoreItem &item)
{
    m_copy.onWritten(item);
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
        takeMember(*member, item);
    }
}

void Discovery::takeMember(const MemberId &member, const StoreItem &item)
{
    m_members.onPresent(member);
    Reason reason;
    if (const auto announced = decodeMember(member, item.value, reason)) {
        m_chooser.onPresent(*announced);
        return;
    }
    LOG4CPLUS_WARN(discoveryLog(),
                   "event=member-unreadable member=" << member << " revision=" << item.revision
                                                     << " reason=\"" << reason.text << '"');
}

void Discovery::onRemoved(const std::string &key, Revision revision)
{
    m_copy.onRemoved(key, revision);
    if (const auto id = rest(key, m_codec.backendPrefix)) {
        LOG4CPLUS_INFO(discoveryLog(), "event=backend-gone backend=" << *id);
        m_directory.onRemoved(*id, m_clock.now());
    } else if (const auto domain = rest(key, m_codec.domainOutPrefix)) {
        LOG4CPLUS_INFO(discoveryLog(), "event=domain-back domain=" << *domain);
        m_directory.onDomainOut(*domain, false);
    } else if (const auto member = rest(key, m_codec.memberPrefix)) {
        LOG4CPLUS_INFO(discoveryLog(), "event=member-gone member=" << *member);
        m_members.onVanished(*member, m_clock.now());
        m_chooser.onVanished(*member);
        if (*member == m_settings.feed.self) {
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
