#pragma once

#include "Pimentoward/Connection/BackendConnectionPool.h"
#include "Pimentoward/Connection/BackendDispatcher.h"
#include "Pimentoward/Connection/OwnedSubrequest.h"
#include "Pimentoward/Version/ServiceCatalog.h"

#include <unordered_map>

struct event_base;

namespace pimentoward {

/// One backend server that this VM has owned at some time since its start: its dispatcher, its
/// connections and the subrequests that have not been replied to yet.
struct OwnedBackend
{
    OwnedBackend(event_base *loop, const Clock &clock, ServiceName serviceName,
                 const BackendServer &server, const BackendDispatcher::Settings &settings);

    ServiceName service;
    BackendServer description;
    BackendDispatcher dispatcher;
    BackendConnectionPool pool;
    std::unordered_map<DispatchToken, OwnedSubrequest> subrequests;
    /// Until this time the backend server counts as leaving, because a reply said so.
    SteadyTime leavingUntil {};
};

} // namespace pimentoward
