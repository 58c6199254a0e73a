#pragma once

#include "Pimentoward/Connection/HttpClient.h"
#include "Pimentoward/Process/Timer.h"
#include "standins/LoadRunner.h"

#include <memory>
#include <vector>

struct event_base;

namespace pimentoward::standins {

/// Sends the requests of callers as the platform's load balancer does: round robin to the VMs that
/// report that they are ready.
class CallerLoadBalancer
{
public:
    struct Settings
    {
        /// Time between two readiness probes of one VM. Zero: no probes, and all VMs are used.
        std::chrono::milliseconds probePeriod {0};
        /// How long after the request's deadline an answer is still accepted.
        std::chrono::milliseconds grace {1000};
        /// Keeps the body of each answer in its outcome.
        bool keepsBody = false;
    };

    CallerLoadBalancer(event_base *loop, const std::vector<Address> &vms, const Settings &settings);

    /// Sends one request. If no answer arrives, the outcome has the result code of the HTTP client,
    /// such as PeerUnreachable.
    void send(const PlannedRequest &request, LoadRunner::DoneHook done);

private:
    /// One VM and the result of its latest readiness probe.
    struct Target
    {
        std::unique_ptr<HttpClient> callerClient;
        std::unique_ptr<HttpClient> probeClient;
        bool isReady = true;
    };

    void probe();
    /// The next ready VM in round robin order; any VM if none is ready.
    Target &nextTarget();
    LoadOutcome readOutcome(const HttpAnswer &answer) const;

    Settings m_settings;
    std::vector<Target> m_targets;
    std::size_t m_next = 0;
    Timer m_probeTimer;
};

} // namespace pimentoward::standins
