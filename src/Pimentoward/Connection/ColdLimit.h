#pragma once

#include "Pimentoward/Core/Types.h"

#include <cstddef>
#include <vector>

namespace pimentoward {

/// Limits this VM to its share of the requests per second that one cold backend server may get from
/// all VMs together. Performs no I/O.
///
/// For each backend server the VMs are ranked by a hash that all of them compute in the same way.
/// Each VM gets an equal whole number of requests, and the remainder goes to the VMs of the lowest
/// ranks, one request each. So the shares add up to the limit without messages between the VMs.
///
/// Load pattern: the backend servers of a failure domain return together and cold, and without this
/// limit every VM would send them its usual load at once.
class ColdLimit
{
public:
    struct Settings
    {
        /// Limit per second, as a multiple of the request rate that the service states for a cold
        /// backend server.
        double ratio = 1.5;
        /// Requests per second added to that limit, for all VMs together.
        double sharedAllowance = 5;
        /// Share of the limit that is used. The rest covers VMs that have just joined.
        double usableShare = 0.75;
        /// Length of the sliding window in which this VM may send its share. It is longer than a
        /// second because requests may arrive closer together than they were sent.
        Duration window = std::chrono::milliseconds(1200);
    };

    ColdLimit();
    explicit ColdLimit(const Settings &settings);

    /// Changes the settings. The window takes effect at once, the others with the next
    /// changeShare().
    void changeSettings(const Settings &settings) { m_settings = settings; }
    /// Sets the time until which the backend server is cold according to its record.
    void changeColdUntil(SteadyTime until) { m_coldUntil = until; }
    /// Sets the time until which the backend server is cold according to its own reply, which holds
    /// whatever the record says.
    void changeReportedColdUntil(SteadyTime until) { m_reportedColdUntil = until; }
    /// `coldRequestsPerSecond`: requests per second from all VMs that the backend server can handle
    /// while it is cold; 0 means no limit. `rank`: position of this VM among `members` VMs, from 0.
    void changeShare(double coldRequestsPerSecond, std::size_t rank, std::size_t members);
    bool isCold(SteadyTime now) const { return now < m_coldUntil || now < m_reportedColdUntil; }
    /// True if one more request may be sent now.
    bool allows(SteadyTime now) const;
    void onSent(SteadyTime now);

private:
    Settings m_settings;
    SteadyTime m_coldUntil {};
    SteadyTime m_reportedColdUntil {};
    bool m_isLimited = false;
    /// Requests that this VM may send within one window.
    std::size_t m_share = 0;
    /// Ring buffer of the times of the last m_share requests. The oldest one is at m_oldest.
    std::vector<SteadyTime> m_sentAt;
    std::size_t m_oldest = 0;
};

} // namespace pimentoward
