#pragma once

#include "Pimentoward/Core/Types.h"

#include <cstddef>

namespace pimentoward {

/// Decides how many connections the owner of a backend server may hold and when it may open one.
/// The backend server's limit applies to all VMs together. Therefore a share is reserved for the
/// next owner, which uses only this share until the previous owner's connections are certainly
/// closed. The rate of openings is limited too, since each costs the backend server time.
class ConnectionBudget
{
public:
    struct Settings
    {
        /// Maximum number of connections that the backend server accepts from all VMs together.
        int connections = 1;
        /// Maximum number of requests that the backend server runs at a time.
        int slots = 1;
        /// Time that opening one connection costs the backend server.
        Duration connectionCost {};
        /// Number of connections above the slots that an owner may hold: for cancels, and in place
        /// of connections whose end has not been noticed yet.
        int spareConnections = 2;
        /// Share of the connections that is reserved for the next owner.
        double handoverShare = 0.25;
        /// How long a new owner uses only the reserved share.
        Duration handoverTime = std::chrono::seconds(2);
        /// Maximum share of the backend server's time that openings may use.
        double openingShare = 0.1;
        /// Reserves a share of the connections for the next owner. If false, every owner may hold
        /// all connections at once. Set to false only in tests and benchmarks.
        bool reservesHandoverShare = true;
        /// Limits the rate of openings. If false, connections are opened whenever their number
        /// allows it. Set to false only in tests and benchmarks.
        bool pacesOpenings = true;
    };

    /// `ownedSince` is the time at which this VM became the owner.
    ConnectionBudget(const Settings &settings, SteadyTime ownedSince);

    /// To be called when this VM has become the owner again and another VM may have been the owner
    /// in between.
    void onOwnershipRegained(SteadyTime now) { m_ownedSince = now; }
    /// Returns the maximum number of open connections at present.
    int allowance(SteadyTime now) const;
    /// Returns true if one more connection may be opened now.
    bool mayOpen(SteadyTime now) const;
    /// Returns the earliest time at which mayOpen() can become true without a connection being
    /// closed. If the handover time is over, the number of open connections is ignored, because
    /// only closing a connection lowers it.
    SteadyTime nextOpening(SteadyTime now) const;
    /// To be called when a connection is being opened.
    void onOpened(SteadyTime now);
    /// To be called when a connection has been closed.
    void onClosed();
    /// Returns the number of connections opened and not closed yet.
    int openConnections() const { return m_openConnections; }

private:
    /// Returns the number of connections that are reserved for the next owner.
    int handoverReserve() const;
    /// Returns the time between openings at which openings use exactly their share of the backend
    /// server's time.
    Duration openingInterval() const;
    /// Returns the time by which openings may be ahead of the pace set by openingInterval().
    Duration burst() const;

    Settings m_settings;
    SteadyTime m_ownedSince;
    int m_openConnections = 0;
    /// Past openings have used up the share of time for openings up to this time.
    SteadyTime m_pacedUntil;
};

} // namespace pimentoward
