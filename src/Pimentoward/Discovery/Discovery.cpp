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

} // namespace

Discovery::Discovery(event_base *loop, const Clock &clock, KeyValueStore &store, RecordCodec codec,
                     const Settings &settings, DiscoveredRecords::Hooks hooks,
                     OutdatedHook onOutdated)
    : m_clock(clock)
    , m_store(store)
    , m_settings(settings)
    , m_records(std::move(codec), settings.feed.self, settings.records, observed(std::move(hooks)),
                {[this](const FeedChooser::Member &member) { onMemberPresent(member); },
                 [this](const MemberId &member) { onMemberRemoved(member); }})
    , m_rolloutWriter(loop, clock, store, m_records.codec().rollouts, settings.rollouts)
    , m_mirror(settings.mirror,
               {[this](const StoreItem &item) {
                    m_copy.onWritten(item);
                    m_records.onWritten(item, m_clock.now());
                },
                [this](const std::string &key, Revision revision) { onKeyRemoved(key, revision); },
                [this] { onOutage(); }, [this](bool isList) { onCaughtUp(isList); },
                [this](StoreEra era, bool isRestored) { onEra(era, isRestored); }})
    , m_registration(loop, store, registrationSettings(settings))
    , m_chooser(settings.feed)
    , m_feedClient(loop)
    , m_feedServer(loop, clock, m_copy, [this] { return freshness(); })
    , m_stepTimer(loop, [this] { runNextStep(); })
    , m_expiryTimer(loop, [this] { publish(); })
    , m_onOutdated(std::move(onOutdated))
    , m_ageTimer(loop, [this] { checkAge(); })
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
    listMembers("");
    runNextStep();
}

void Discovery::leave(std::function<void()> done)
{
    m_registration.leave(std::move(done));
}

void Discovery::runNextStep()
{
    // The answer to the step before has been applied.
    publishVms();
    std::visit([this](const auto &step) { execute(step); }, m_mirror.nextStep());
}

void Discovery::logSource(const FeedChooser::Choice &choice)
{
    const std::string source = choice.vm ? choice.vm->toString() : "store";
    if (source != m_lastLoggedSource) {
        LOG4CPLUS_INFO(discoveryLog(),
                       "event=source source=" << source << " before=" << m_lastLoggedSource
                                              << " revision=" << m_mirror.revision() << " reason=\""
                                              << choice.reason << '"');
    }
    m_lastLoggedSource = source;
}

void Discovery::execute(const StoreMirror::List &list)
{
    const FeedChooser::Choice choice = m_chooser.choose(m_clock.now());
    logSource(choice);
    m_lastSourceVm = choice.vm;
    if (choice.vm) {
        listFromVm(*choice.vm, list.after);
        return;
    }
    m_store.range(m_settings.mirror.prefix, list.after,
                  [this](const std::optional<StorePage> &page, const StoreFailure &failure) {
                      if (page && !isStoreBehind({page->era, page->revision})) {
                          onStoreAnswered();
                          m_records.onLeftOut(page->leftOut);
                          m_mirror.onPage(*page);
                          m_registration.onEra(page->era);
                      } else if (!page) {
                          onStoreFailed(failure);
                      }
                      runNextStep();
                  });
}

void Discovery::execute(const StoreMirror::Watch &watch)
{
    const FeedChooser::Choice choice = m_chooser.choose(m_clock.now());
    logSource(choice);
    m_lastSourceVm = choice.vm;
    const Duration wait
        = m_chooser.isRelaying() ? m_settings.relayedWatchTime : m_settings.mirror.watchTime;
    if (choice.vm) {
        watchFromVm(*choice.vm, watch.after, wait);
        return;
    }
    m_store.watch(m_settings.mirror.prefix, watch.after, wait,
                  [this](const std::optional<StoreChanges> &changes, const StoreFailure &failure) {
                      if (changes && !isStoreBehind({changes->era, changes->revision})) {
                          onStoreAnswered();
                          m_records.onLeftOut(changes->leftOut);
                          m_mirror.onChanges(*changes);
                          m_registration.onEra(changes->era);
                      } else if (!changes) {
                          onStoreFailed(failure);
                      }
                      runNextStep();
                  });
}

void Discovery::execute(const StoreMirror::Pause &pause)
{
    m_stepTimer.startOnce(pause.time);
}

void Discovery::listFromVm(const Address &vm, const std::string &after)
{
    m_feedClient.range(
        vm, after, [this, vm](const std::optional<FeedPage> &page, const StoreFailure &failure) {
            if (!page) {
                onVmFailed(vm, failure);
            } else if (updateFreshness(vm, page->freshness,
                                       {page->page.era, page->page.revision})) {
                m_mirror.onPage(page->page);
                m_registration.onEra(page->page.era);
            }
            runNextStep();
        });
}

void Discovery::watchFromVm(const Address &vm, Revision after, Duration wait)
{
    m_feedClient.watch(
        vm, {m_mirror.position().era, after}, wait,
        [this, vm](const std::optional<FeedChanges> &changes, const StoreFailure &failure) {
            if (!changes) {
                onVmFailed(vm, failure);
            } else if (updateFreshness(vm, changes->freshness,
                                       {changes->changes.era, changes->changes.revision})) {
                m_mirror.onChanges(changes->changes);
                m_registration.onEra(changes->changes.era);
            }
            runNextStep();
        });
}

void Discovery::onStoreAnswered()
{
    if (m_isStoreLost) {
        LOG4CPLUS_INFO(discoveryLog(), "event=store-regained revision=" << m_mirror.revision());
    }
    m_isStoreLost = false;
    m_upToDateAt = m_clock.now();
    m_chooser.onStoreResult(true, m_upToDateAt);
    checkAge();
}

void Discovery::checkAge()
{
    const Duration maxAge = m_settings.mirror.watchTime + m_settings.outdatedMargin;
    const Duration age = m_clock.now() - m_upToDateAt;
    const bool areOutdated = age >= maxAge;
    if (areOutdated != m_areRecordsOutdated) {
        m_areRecordsOutdated = areOutdated;
        LOG4CPLUS_INFO(discoveryLog(),
                       "event=" << (areOutdated ? "records-outdated" : "records-current")
                                << " revision=" << m_mirror.revision());
        m_onOutdated(areOutdated);
    }
    if (!areOutdated) {
        m_ageTimer.startOnce(maxAge - age);
    }
}

bool Discovery::updateFreshness(const Address &vm, const FeedFreshness &freshness,
                                const StorePosition &position)
{
    const SteadyTime now = m_clock.now();
    m_chooser.onAnswered(vm, freshness.age, now);
    if (freshness.sinceOutage) {
        const SteadyTime outageAt = now - *freshness.sinceOutage;
        m_outageAt = std::max(m_outageAt.value_or(outageAt), outageAt);
        m_records.onOutage(*m_outageAt);
    }
    if (position < m_mirror.position()) {
        onVmFailed(vm, {StoreError::Refused, "the VM's copy is older than this VM's own copy"});
        return false;
    }
    m_upToDateAt = std::max(m_upToDateAt, now - freshness.age);
    checkAge();
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
    freshness.age = now - m_upToDateAt;
    if (m_outageAt) {
        freshness.sinceOutage = now - *m_outageAt;
    }
    return freshness;
}

void Discovery::onStoreFailed(const StoreFailure &failure)
{
    if (!m_isStoreLost) {
        LOG4CPLUS_WARN(discoveryLog(),
                       "event=store-lost revision=" << m_mirror.revision()
                                                    << " settings=" << m_records.settingsRevision()
                                                    << " reason=\"" << failure.text << '"');
    }
    m_isStoreLost = true;
    m_chooser.onStoreResult(false, m_clock.now());
    m_mirror.onFailed(failure);
}

void Discovery::onOutage()
{
    if (m_lastSourceVm) {
        // The last call went to a VM, so its failure does not mean that the store has failed.
        return;
    }
    m_outageAt = m_clock.now();
    m_records.onOutage(*m_outageAt);
}

void Discovery::onCaughtUp(bool isList)
{
    if (isList) {
        m_copy.clearHistory(m_mirror.revision());
        m_records.onListed();
    }
    m_copy.onCaughtUp(m_mirror.revision());
    m_feedServer.onChanged();
    publish();
}

void Discovery::onKeyRemoved(const std::string &key, Revision revision)
{
    m_copy.onRemoved(key, revision);
    m_records.onRemoved(key, m_clock.now());
    if (key == m_settings.registration.key) {
        m_registration.onKeyRemoved({m_mirror.position().era, revision});
    }
}

bool Discovery::isStoreBehind(const StorePosition &position)
{
    const StorePosition known = m_mirror.position();
    if (!(position < known)) {
        return false;
    }
    LOG4CPLUS_WARN(discoveryLog(),
                   "event=store-behind era=" << position.era << " revision=" << position.revision
                                             << " known_era=" << known.era
                                             << " known_revision=" << known.revision);
    onStoreFailed({StoreError::Malformed, "the store's answer is older than this VM's copy"});
    return true;
}

void Discovery::onEra(StoreEra era, bool isRestored)
{
    m_copy.startEra(era);
    m_feedServer.onChanged();
    if (!isRestored) {
        return;
    }
    LOG4CPLUS_WARN(discoveryLog(),
                   "event=store-restored era=" << era
                                               << " settings=" << m_records.settingsRevision());
    m_outageAt = m_clock.now();
    m_records.onRestored();
}

void Discovery::publish()
{
    // An incomplete copy lacks records of backend servers, and publishing it would take them out of
    // service.
    if (!m_mirror.isComplete()) {
        return;
    }
    m_records.publish(m_clock.now());
    if (const auto next = m_records.nextChange()) {
        m_expiryTimer.startOnce(std::max(*next - m_clock.now(), Duration::zero()));
    }
}

} // namespace pimentoward
