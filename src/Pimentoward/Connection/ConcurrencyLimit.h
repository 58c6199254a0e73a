#pragma once

#include "Pimentoward/Core/Types.h"

#include <cstddef>

namespace pimentoward {

/// Limits this VM's requests in flight at one backend server by how long replies take there. Does
/// no input or output.
///
/// Load pattern: more requests than a service can work on. Without a limit they wait at the backend
/// server, first come, first served, until all of them are late; with it they wait in this VM,
/// where those that can still be in time go first.
class ConcurrencyLimit
{
public:
    struct Settings
    {
        /// A reply that took more than this share of its route's objective has waited in a queue.
        double longShare = 0.33;
        /// One that took less than this share has not.
        double shortShare = 0.2;
        /// What is left of the limit after a long reply.
        double shrinkFactor = 0.6;
        /// What a short reply adds to the limit.
        double growStep = 0.15;
    };

    ConcurrencyLimit();
    explicit ConcurrencyLimit(const Settings &settings);

    /// The limit never exceeds `most`, and is `most` until replies say otherwise.
    void changeMaximum(unsigned most);
    /// A request sent at `sentAt` was answered; `objective` is that of its route.
    void onReply(SteadyTime sentAt, SteadyTime now, Duration objective);
    /// True where one more request may be sent beside `inFlight` others.
    bool allows(std::size_t inFlight) const;

private:
    Settings m_settings;
    unsigned m_most = 1;
    double m_limit = 1;
    /// Replies to what was sent before tell of the queue as it was before the limit shrank.
    SteadyTime m_shrunkAt {};
};

} // namespace pimentoward
