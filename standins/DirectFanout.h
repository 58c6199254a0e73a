#pragma once

#include "Pimentoward/Version/ServiceCatalog.h"
#include "standins/LoadRunner.h"

#include <map>
#include <memory>

struct event_base;

namespace pimentoward::standins {

/// Baseline without the tier: each VM sends the subrequests of a query to the backend servers
/// itself, over plain evhttp connections. Each VM has its own limit per backend server and no
/// information about the load that the other VMs cause.
class DirectFanout
{
public:
    struct Settings
    {
        /// Number of VMs. Each one dispatches on its own; requests go to them round robin.
        std::size_t vms = 1;
        /// Maximum number of subrequests that one VM has in flight to one backend server. 0: the
        /// number of the server's slots.
        int limitPerVm = 0;
        /// Prefix of all request IDs, which makes them unique across several runs.
        std::string requestPrefix = "direct";
    };

    DirectFanout(event_base *loop, const std::vector<ServiceCatalog> &services,
                 const Settings &settings);
    ~DirectFanout();
    DirectFanout(const DirectFanout &) = delete;
    DirectFanout &operator=(const DirectFanout &) = delete;

    /// Sends one request: a subrequest to each shard that it concerns, all at the same time, each
    /// to the replica with the fewest queued and running subrequests of this VM.
    void send(const PlannedRequest &request, LoadRunner::DoneHook done);
    /// Subrequests sent so far.
    std::uint64_t subrequests() const;

private:
    struct Query;
    struct Backend;
    struct State;

    std::unique_ptr<State> m_state;
};

} // namespace pimentoward::standins
