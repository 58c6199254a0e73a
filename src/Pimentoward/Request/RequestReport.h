#pragma once

#include "Pimentoward/Process/Metrics.h"
#include "Pimentoward/Request/ActiveRequest.h"
#include "Pimentoward/Version/BackendRecord.h"

namespace pimentoward {

/// Tells of each request by one log line and the metrics. Belongs to one task.
class RequestReport
{
public:
    explicit RequestReport(Metrics &metrics);

    void onAnswered(const ActiveRequest &request, const GatherOutcome &outcome, SteadyTime now);
    /// Refused without having been sent; `settings` is the version in force, 0 for none.
    void onRefused(const RequestId &id, int status, Revision settings, const char *reason);
    void onCallerGone(const ActiveRequest &request, SteadyTime now);
    /// The first failure of a backend server after replies. `id` is empty where the request that
    /// met it has ended before.
    void onBackendFailing(const BackendRecord &backend, const RequestId &id, const char *reason);
    /// The first reply of a backend server after failures.
    void onBackendHealthy(const BackendRecord &backend);

private:
    Metrics &m_metrics;
};

} // namespace pimentoward
