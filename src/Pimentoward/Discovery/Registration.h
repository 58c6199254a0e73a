#pragma once

#include "Pimentoward/Discovery/KeyValueStore.h"
#include "Pimentoward/Process/Timer.h"

#include <functional>
#include <string>

struct event_base;

namespace pimentoward {

/// Keeps this VM's own key in the store under a lease, so that the others count it. Belongs to the
/// task of its store.
class Registration
{
public:
    struct Settings
    {
        std::string key;
        std::string value;
        Duration timeToLive = std::chrono::seconds(6);
        Duration renewPeriod = std::chrono::milliseconds(2500);
        /// Pause after a call that failed.
        Duration retryPause = std::chrono::milliseconds(600);
    };

    Registration(event_base *loop, KeyValueStore &store, const Settings &settings);

    void start();
    /// The key has vanished from the store though this VM did not remove it.
    void onKeyRemoved();
    /// Removes the key; `done` runs once the store has answered, or has not.
    void leave(std::function<void()> done);

private:
    void step();
    void grant();
    void write();
    void renew();
    void onFailed(const char *event, const StoreFailure &failure);

    KeyValueStore &m_store;
    Settings m_settings;
    Timer m_timer;
    LeaseId m_lease = 0;
    bool m_isWritten = false;
    bool m_isLeaving = false;
    bool m_isCallPending = false;
};

} // namespace pimentoward
