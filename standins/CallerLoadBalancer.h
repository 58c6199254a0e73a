#pragma once

#include "Pimentoward/Connection/HttpClient.h"
#include "Pimentoward/Process/Timer.h"
#include "standins/LoadRunner.h"

#include <memory>
#include <vector>

struct event_base;

namespace pimentoward::standins {

/// Callers behind the platform's balancer: requests go round robin to the VMs that answer ready.
class CallerLoadBalancer
{
public:
    struct Settings
    {
        /// Time between two health probes of one VM; zero: no probes, all VMs are used.
        std::chrono::milliseconds probePeriod {0};
        /// Time that an answer may come after the request's deadline.
        std::chrono::milliseconds grace {1000};
        /// Keeps the text of each answer in its outcome.
        bool keepsBody = false;
    };

    CallerLoadBalancer(event_base *loop, const std::vector<Address> &vms, const Settings &settings);

    /// Sends one request; a call without any answer ends with the client's own code, such as
    /// PeerUnreachable.
    void send(const PlannedRequest &request, LoadRunner::DoneHook done);

private:
    /// One VM as the balancer sees it.
    struct Target
    {
        std::unique_ptr<HttpClient> callers;
        std::unique_ptr<HttpClient> probes;
        bool isReady = true;
    };

    void probe();
    Target &nextTarget();
    LoadOutcome readOutcome(const HttpAnswer &answer) const;

    Settings m_settings;
    std::vector<Target> m_targets;
    std::size_t m_next = 0;
    Timer m_probeTimer;
};

} // namespace pimentoward::standins
