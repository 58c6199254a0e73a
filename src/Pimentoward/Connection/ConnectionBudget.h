#pragma once

#include "Pimentoward/Core/Types.h"

#include <cstddef>

namespace pimentoward {

/// Decides how many connections the owner of a backend server may hold and when it may open one.
/// The backend server's limit counts over all VMs: a share is kept back for the next owner, which
/// uses nothing else until the former one's connections have surely ended. Openings are paced,
/// since each costs the backend server time.
class ConnectionBudget
{
public:
    struct Settings
    {
        /// Connections that the backend server accepts over all VMs.
        int connections = 1;
        /// Requests that it bears at a time.
        int slots = 1;
        /// Time that one opening costs it.
        Duration connectionCost {};
        /// Connections above the slots that an owner may hold: for cancels and for those whose end
        /// has not been noticed yet.
        int spareConnections = 2;
        /// Share of the connections that is kept back for the next owner.
        double handoverShare = 0.25;
        /// How long a new owner uses that share alone.
        Duration handoverTime = std::chrono::seconds(2);
        /// Share of the backend server's time that openings may eat.
        double openingShare = 0.1;
        /// Only for tests and benchmarks: false lets every owner hold all connections at once.
        bool keepsBack = true;
        /// Only for tests and benchmarks: false opens whenever the number allows it.
        bool pacesOpenings = true;
    };

    /// `ownedSince`: when this VM became the owner.
    ConnectionBudget(const Settings &settings, SteadyTime ownedSince);

    /// This VM has become the owner again after another one may have been it.
    void onOwnershipRegained(SteadyTime now) { m_ownedSince = now; }
    /// Connections that may stand at present.
    int allowance(SteadyTime now) const;
    /// True where one more may be opened now.
    bool mayOpen(SteadyTime now) const;
    /// The next time at which mayOpen() can turn true without a connection being closed.
    SteadyTime nextOpening(SteadyTime now) const;
    void onOpened(SteadyTime now);
    void onClosed();
    int open() const { return m_open; }

private:
    int keptBack() const;
    Duration openingInterval() const;
    Duration burst() const;

    Settings m_settings;
    SteadyTime m_ownedSince;
    int m_open = 0;
    /// Up to when past openings have used up the share of time for openings.
    SteadyTime m_paidUntil;
};

} // namespace pimentoward
