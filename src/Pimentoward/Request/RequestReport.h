#pragma once

#include "Pimentoward/Process/Metrics.h"
#include "Pimentoward/Request/ActiveRequest.h"
#include "Pimentoward/Version/BackendRecord.h"

namespace pimentoward {

/// Writes one log line per request and updates the metrics. Must be used from one task only.
class RequestReport
{
public:
    explicit RequestReport(Metrics &metrics);

    /// Reports a request that has been answered.
    void onAnswered(const ActiveRequest &request, const GatherOutcome &outcome, SteadyTime now);
    /// Reports a request that was refused without being sent. `settings` is the revision of the
    /// settings in force, or 0 if no settings are known.
    void onRefused(const RequestId &id, int status, Revision settings, const char *reason);
    /// Reports a request whose caller closed its connection before the answer.
    void onCallerGone(const ActiveRequest &request, SteadyTime now);
    /// Reports a request that ends without an answer because the process ends.
    static void onCut(const ActiveRequest &request, SteadyTime now);
    /// Reports the first failure of a backend server after successful replies. `id` is empty if the
    /// affected request has already ended.
    void onBackendFailing(const BackendRecord &backend, const RequestId &id, const char *reason);
    /// Reports the first successful reply of a backend server after failures.
    void onBackendHealthy(const BackendRecord &backend);
    /// Reports that a backend server has stated in a reply that it is leaving.
    void onBackendLeaving(const BackendRecord &backend);
    /// Reports that a backend server has asked for a pause of new requests.
    void onBackendPaused(const BackendRecord &backend, Duration pause);
    /// Reports that a backend server has stated in a health reply that it is cold.
    void onBackendCold(const BackendRecord &backend, Duration coldLeft);
    /// Counts a reply of a backend server whose service is under roll-out, by version.
    void onRolloutReply(const BackendRecord &backend, bool isFailure, bool isSlow);
    /// Reports that the version under roll-out of the backend server's service has shown to be bad.
    void onVersionBad(const BackendRecord &backend);

private:
    Metrics &m_metrics;
};

} // namespace pimentoward
