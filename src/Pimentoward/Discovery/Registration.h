#pragma once

#include "Pimentoward/Discovery/KeyValueStore.h"
#include "Pimentoward/Process/Timer.h"

#include <functional>
#include <string>

struct event_base;

namespace pimentoward {

/// Keeps this VM's record in the store under a lease, so that the other VMs count it. Belongs to
/// the task of its store.
class Registration
{
public:
    struct Settings
    {
        std::string key;
        std::string value;
        /// Time to live that is requested for the lease.
        Duration timeToLive = std::chrono::seconds(6);
        /// Time between two renewals of the lease.
        Duration renewPeriod = std::chrono::milliseconds(2500);
        /// Pause before the next attempt after a failed call.
        Duration retryDelay = std::chrono::milliseconds(600);
    };

    Registration(event_base *loop, KeyValueStore &store, const Settings &settings);

    /// Starts to register this VM.
    void start();
    /// Reports that the key was removed from the store at `position` although this VM did not
    /// remove it. A removal before the last write changes nothing.
    void onKeyRemoved(const StorePosition &position);
    /// Reports the era of the store. A lease of an earlier era is given up, because its number may
    /// have been given out again, and the key is written under a new one.
    void onEra(StoreEra era);
    /// Ends the lease, which removes the key. `done` runs once the store has answered or the call
    /// has failed, or inside this function if there is no lease.
    void leave(std::function<void()> done);

private:
    /// Makes the call that is due next: grants the lease, writes the key or renews the lease.
    void step();
    void grant();
    void write();
    void renew();
    /// Makes the next call after a pause, or at once if the lease belongs to an earlier era.
    void continueAfter(Duration pause);
    /// Forgets the lease and returns true if it belongs to an earlier era.
    bool forgetEarlierLease();
    void onFailed(const char *event, const StoreFailure &failure);

    KeyValueStore &m_store;
    Settings m_settings;
    Timer m_timer;
    LeaseId m_lease = 0;
    StoreEra m_leaseEra = 0;
    /// The latest era that is known.
    StoreEra m_era = 0;
    Revision m_writtenRevision = 0;
    bool m_isWritten = false;
    bool m_isLeaving = false;
    bool m_isCallPending = false;
};

} // namespace pimentoward
