#pragma once

#include "Pimentoward/Process/Metrics.h"
#include "Pimentoward/Request/ActiveRequest.h"

namespace pimentoward {

/// Tells of each request by one log line and the metrics. Belongs to one task.
class RequestReport
{
public:
    explicit RequestReport(Metrics &metrics);

    void onAnswered(const ActiveRequest &request, const GatherOutcome &outcome, SteadyTime now);
    /// Refused without having been sent; `settings` is the version in force, 0 for none.
    void onRefused(const RequestId &id, int status, Revision settings, const char *why);
    void onCallerGone(const ActiveRequest &request, SteadyTime now);

private:
    Metrics &m_metrics;
};

} // namespace pimentoward
