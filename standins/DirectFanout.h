#pragma once

#include "Pimentoward/Version/ServiceCatalog.h"
#include "standins/LoadRunner.h"

#include <map>
#include <memory>

struct event_base;

namespace pimentoward::standins {

/// The plain baseline: each VM calls all backend servers of a query itself, by bare evhttp, with
/// its own limit per backend server and no knowledge of the other VMs.
class DirectFanout
{
public:
    struct Settings
    {
        /// Dispatchers that know nothing of each other; requests go round robin to them.
        std::size_t vms = 1;
        /// Requests that one VM has at a time in one backend server; 0: the server's slots.
        int limitPerVm = 0;
        /// Makes request ids unique over several runs.
        std::string requestPrefix = "direct";
    };

    DirectFanout(event_base *loop, const std::vector<ServiceCatalog> &services,
                 const Settings &settings);
    ~DirectFanout();
    DirectFanout(const DirectFanout &) = delete;
    DirectFanout &operator=(const DirectFanout &) = delete;

    /// Sends one request to the first replicas that are free, all shards at once.
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
