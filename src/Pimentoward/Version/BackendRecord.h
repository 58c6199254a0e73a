#pragma once

#include "Pimentoward/Core/Address.h"
#include "Pimentoward/Core/Types.h"

namespace pimentoward {

/// What one backend server states about itself in the store.
struct BackendRecord
{
    BackendServerId id;
    ServiceName service;
    Address address;
    FailureDomain failureDomain;
    /// Maximum number of requests that it processes at a time.
    unsigned slots = 1;
    /// True if the backend server is about to stop and must get no new work.
    bool isLeaving = false;
    /// Remaining duration of its cold start, as of this record.
    Duration coldLeft {};
    /// Version of its software; empty if it states none.
    SoftwareVersion version;
    /// Wall-clock time of its start. A change means that it has restarted and lost its state.
    Incarnation incarnation = 0;
};

} // namespace pimentoward
