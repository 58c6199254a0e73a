#include "Pimentoward/Discovery/Registration.h"

#include "Pimentoward/Core/Log.h"

#include <algorithm>

namespace pimentoward {

namespace {

log4cplus::Logger registrationLog()
{
    return Log::part("member");
}

} // namespace

Registration::Registration(event_base *loop, KeyValueStore &store, const Settings &settings)
    : m_store(store)
    , m_settings(settings)
    , m_timer(loop, [this] { step(); })
{ }

void Registration::start()
{
    step();
}

void Registration::step()
{
    if (m_isLeaving || m_isCallPending) {
        return;
    }
    m_isCallPending = true;
    if (m_lease == 0) {
        grant();
    } else if (!m_isWritten) {
        write();
    } else {
        renew();
    }
}

void Registration::grant()
{
    m_store.grantLease(m_settings.timeToLive,
                       [this](const std::optional<StoreLease> &lease, const StoreFailure &failure) {
                           m_isCallPending = false;
                           if (!lease) {
                               onFailed("lease-not-granted", failure);
                               return;
                           }
                           m_lease = lease->id;
                           m_leaseEra = lease->era;
                           m_isWritten = false;
                           forgetEarlierLease();
                           step();
                       });
}

void Registration::write()
{
    StoreTransaction transaction;
    transaction.writes.push_back({m_settings.key, m_settings.value, m_lease});
    m_store.transact(
        transaction, [this](const std::optional<Revision> &revision, const StoreFailure &failure) {
            m_isCallPending = false;
            if (!revision) {
                onFailed("not-written", failure);
                return;
            }
            m_isWritten = true;
            m_writtenRevision = *revision;
            LOG4CPLUS_INFO(registrationLog(),
                           "event=registered key=" << m_settings.key << " lease=" << m_lease
                                                   << " revision=" << *revision);
            continueAfter(m_settings.renewPeriod);
        });
}

void Registration::renew()
{
    m_store.renewLease(m_lease,
                       [this](const std::optional<LeaseId> &lease, const StoreFailure &failure) {
                           m_isCallPending = false;
                           if (!lease) {
                               onFailed("lease-not-renewed", failure);
                               return;
                           }
                           continueAfter(m_settings.renewPeriod);
                       });
}

void Registration::onFailed(const char *event, const StoreFailure &failure)
{
    LOG4CPLUS_WARN(registrationLog(),
                   "event=" << event << " lease=" << m_lease << " reason=\"" << failure.text
                            << '"');
    if (failure.error == StoreError::NotFound) {
        m_lease = 0;
        m_isWritten = false;
    }
    forgetEarlierLease();
    m_timer.startOnce(m_settings.retryDelay);
}

void Registration::continueAfter(Duration pause)
{
    if (forgetEarlierLease()) {
        step();
        return;
    }
    m_timer.startOnce(pause);
}

bool Registration::forgetEarlierLease()
{
    if (m_lease == 0 || m_leaseEra >= m_era) {
        return false;
    }
    LOG4CPLUS_INFO(registrationLog(),
                   "event=lease-of-earlier-era lease=" << m_lease << " era=" << m_era);
    m_lease = 0;
    m_isWritten = false;
    return true;
}

void Registration::onEra(StoreEra era)
{
    m_era = std::max(m_era, era);
    if (!m_isLeaving && !m_isCallPending && forgetEarlierLease()) {
        step();
    }
}

void Registration::onKeyRemoved(const StorePosition &position)
{
    const bool wasWrittenAfter = position < StorePosition {m_leaseEra, m_writtenRevision};
    if (m_isLeaving || !m_isWritten || wasWrittenAfter) {
        return;
    }
    LOG4CPLUS_WARN(registrationLog(), "event=key-vanished lease=" << m_lease);
    m_isWritten = false;
    m_timer.startOnce(m_settings.retryDelay);
}

void Registration::leave(std::function<void()> done)
{
    m_isLeaving = true;
    m_timer.stop();
    if (m_lease == 0) {
        done();
        return;
    }
    m_store.endLease(
        m_lease,
        [done = std::move(done)](const std::optional<LeaseId> &lease, const StoreFailure &failure) {
            if (!lease) {
                LOG4CPLUS_WARN(registrationLog(),
                               "event=lease-not-ended reason=\"" << failure.text << '"');
            }
            done();
        });
}

} // namespace pimentoward
