#pragma once

#include "Pimentoward/Core/Types.h"

#include <cstddef>

namespace pimentoward {

/// Limits the number of requests that this VM has in flight at one backend server, depending on the
/// response times there. Performs no I/O.
///
/// Load pattern: a service gets more requests than it can process. Without a limit they wait at the
/// backend server in the order of arrival until all of them miss their deadline. With the limit
/// they wait in this VM, which first sends those that can still meet their deadline.
class ConcurrencyLimit
{
public:
    struct Settings
    {
        /// A reply that took longer than this share of its route's latency objective counts as
        /// long: the request has waited in a queue at the backend server.
        double longReplyShare = 0.33;
        /// A reply that took less than this share counts as short: its request has not waited.
        double shortReplyShare = 0.2;
        /// A long reply multiplies the limit by this factor.
        double shrinkFactor = 0.6;
        /// Amount by which a short reply raises the limit.
        double growthStep = 0.15;
    };

    ConcurrencyLimit();
    explicit ConcurrencyLimit(const Settings &settings);

    /// Sets the upper bound of the limit. The limit equals this bound until long replies reduce it.
    void changeMaximum(unsigned maximum);
    /// Adapts the limit to the reply to a request sent at `sentAt`. `objective` is the latency
    /// objective of its route.
    void onReply(SteadyTime sentAt, SteadyTime now, Duration objective);
    /// True if one more request may be sent while `inFlight` others are in flight.
    bool allows(std::size_t inFlight) const;

private:
    Settings m_settings;
    unsigned m_maximum = 1;
    double m_limit = 1;
    /// When the limit was last reduced. Long replies to requests sent before that time reflect the
    /// earlier queue, so they do not reduce the limit again.
    SteadyTime m_shrunkAt {};
};

} // namespace pimentoward
