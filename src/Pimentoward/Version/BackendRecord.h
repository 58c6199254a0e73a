#pragma once

#include "Pimentoward/Core/Address.h"
#include "Pimentoward/Core/Types.h"

namespace pimentoward {

/// What one backend server says of itself.
struct BackendRecord
{
    BackendServerId id;
    ServiceName service;
    Address address;
    FailureDomain failureDomain;
    /// Requests that it works on at a time.
    unsigned slots = 1;
    /// True where it is leaving: it gets no new work.
    bool isLeaving = false;
    /// How much longer it stays cold, from the time of the record.
    Duration coldLeft {};
    /// Civil time of its start; a change means that it holds nothing of before.
    Incarnation incarnation = 0;
};

} // namespace pimentoward
