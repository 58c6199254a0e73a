#pragma once

#include "Pimentoward/Connection/BackendLink.h"
#include "Pimentoward/Connection/HeaderNames.h"
#include "Pimentoward/Process/Timer.h"

#include <functional>
#include <list>

namespace pimentoward {

/// Asks backend servers how long they stay cold, while this VM's records of them may be outdated.
/// Asks only those that are in use. Must be used from one task only.
///
/// Load pattern: a backend server becomes cold again while the store is down or out of reach, so
/// that its record does not say so, and every VM would send it its usual load.
class HealthChecker
{
public:
    struct Settings
    {
        HeaderNames headers;
        /// Minimum time between two checks of one backend server by this VM.
        Duration minPeriod = std::chrono::milliseconds(500);
        /// Maximum number of checks per second that a backend server gets from all VMs together.
        double maxChecksPerSecond = 40;
        /// A check without a reply ends after this time.
        Duration timeout = std::chrono::milliseconds(1000);
    };
    /// Receives for how long a backend server stays cold.
    using ColdHook = std::function<void(BackendLink &link, Duration coldLeft)>;

    HealthChecker(event_base *loop, const Settings &settings, ColdHook onCold);

    /// Checks are made only while the records of backend servers may be outdated, as they are until
    /// this function is called.
    void changeRecordsOutdated(bool areOutdated) { m_areRecordsOutdated = areOutdated; }
    /// Sets the number of VMs, including this one, that check the same backend servers.
    void changeVms(std::size_t vms);
    /// Must be called whenever `link` is in use. Starts a check if one is due, the backend server
    /// is not known to be cold, and the link has a health path and free capacity.
    void onUsed(BackendLink &link, SteadyTime now);

private:
    struct Check
    {
        BackendLink *link = nullptr;
        BackendConnection *connection = nullptr;
        SteadyTime expiresAt {};
    };
    using Checks = std::list<Check>;

    void start(BackendLink &link, SteadyTime now);
    void onEnded(Checks::iterator check, ExchangeOutcome outcome, const HttpReplyMessage &reply);
    void cancelExpired();
    bool isDue(const BackendLink &link, SteadyTime now) const;

    Settings m_settings;
    ColdHook m_onCold;
    /// Time between two checks of one backend server.
    Duration m_period;
    Checks m_running;
    Timer m_expiryTimer;
    bool m_areRecordsOutdated = true;
};

} // namespace pimentoward
