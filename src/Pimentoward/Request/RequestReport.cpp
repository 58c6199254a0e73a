#include "Pimentoward/Request/RequestReport.h"

#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Core/PlainText.h"

namespace pimentoward {

namespace {

const log4cplus::Logger &requestLog()
{
    static const log4cplus::Logger log = Log::part("request");
    return log;
}

std::int64_t milliseconds(Duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace

RequestReport::RequestReport(Metrics &metrics)
    : m_metrics(metrics)
{ }

void RequestReport::onAnswered(const ActiveRequest &request, const GatherOutcome &outcome,
                               SteadyTime now)
{
    const int code = static_cast<int>(outcome.reason.code);
    LOG4CPLUS_INFO(requestLog(),
                   "event=answered request="
                       << logText(request.id) << " route=" << logText(request.route->name)
                       << " settings=" << request.routes->revision()
                       << " status=" << outcome.reply.status << " code=" << code
                       << " ms=" << milliseconds(now - request.readAt)
                       << " left_ms=" << milliseconds(request.deadline - now)
                       << " parts=" << outcome.parts << " missing=" << outcome.missing
                       << " missing_services=" << outcome.missingServices
                       << " sends=" << outcome.sends << " hedges=" << outcome.hedges << " retries="
                       << outcome.retries << " hedge_after_ms=" << milliseconds(request.hedgeDelay)
                       << " reason=\"" << outcome.reason.text << "\" last_failure=\""
                       << outcome.lastFailure << '"');
    m_metrics
        .counter("pimentoward_requests_total", "Requests answered",
                 {{"route", request.route->name}, {"code", std::to_string(code)}})
        .add();
    m_metrics
        .distribution("pimentoward_request_seconds", "Time from reading a request to its answer",
                      {{"route", request.route->name}})
        .record(now - request.readAt);
}

void RequestReport::onBackendFailing(const BackendRecord &backend, const RequestId &id,
                                     const char *reason)
{
    LOG4CPLUS_INFO(requestLog(),
                   "event=backend-failing backend="
                       << backend.id << " service=" << logText(backend.service) << " address="
                       << backend.address.toString() << " domain=" << logText(backend.failureDomain)
                       << " request=" << logText(id) << " reason=\"" << reason << '"');
    m_metrics
        .counter("pimentoward_backend_failures_begun_total",
                 "Times that a backend server began to fail")
        .add();
}

void RequestReport::onBackendHealthy(const BackendRecord &backend)
{
    LOG4CPLUS_INFO(requestLog(),
                   "event=backend-sound backend=" << backend.id
                                                  << " service=" << logText(backend.service)
                                                  << " address=" << backend.address.toString());
}

void RequestReport::onBackendLeaving(const BackendRecord &backend)
{
    LOG4CPLUS_INFO(requestLog(),
                   "event=backend-leaving backend=" << backend.id
                                                    << " service=" << logText(backend.service)
                                                    << " address=" << backend.address.toString()
                                                    << " incarnation=" << backend.incarnation);
    m_metrics
        .counter("pimentoward_backend_leaving_replies_total",
                 "Backend servers that stated in a reply that they are leaving")
        .add();
}

void RequestReport::onBackendPaused(const BackendRecord &backend, Duration pause)
{
    LOG4CPLUS_INFO(requestLog(),
                   "event=backend-paused backend=" << backend.id
                                                   << " service=" << logText(backend.service)
                                                   << " address=" << backend.address.toString()
                                                   << " ms=" << milliseconds(pause));
    m_metrics
        .counter("pimentoward_backend_pauses_total",
                 "Times that a backend server asked for a pause of new requests")
        .add();
}

void RequestReport::onBackendCold(const BackendRecord &backend, Duration coldLeft)
{
    LOG4CPLUS_INFO(requestLog(),
                   "event=backend-cold backend=" << backend.id
                                                 << " service=" << logText(backend.service)
                                                 << " address=" << backend.address.toString()
                                                 << " ms=" << milliseconds(coldLeft));
    m_metrics
        .counter("pimentoward_backends_cold_total",
                 "Times that a health check found a backend server cold")
        .add();
}

void RequestReport::onRefused(const RequestId &id, int status, Revision settings,
                              const char *reason)
{
    LOG4CPLUS_INFO(requestLog(),
                   "event=refused request=" << logText(id) << " status=" << status << " settings="
                                            << settings << " reason=\"" << reason << '"');
    m_metrics
        .counter("pimentoward_requests_refused_total", "Requests refused without being sent",
                 {{"status", std::to_string(status)}})
        .add();
}

void RequestReport::onCallerGone(const ActiveRequest &request, SteadyTime now)
{
    LOG4CPLUS_INFO(requestLog(),
                   "event=caller-gone request=" << logText(request.id)
                                                << " route=" << logText(request.route->name)
                                                << " ms=" << milliseconds(now - request.readAt));
    m_metrics.counter("pimentoward_callers_gone_total", "Callers that left before the answer")
        .add();
}

void RequestReport::onCut(const ActiveRequest &request, SteadyTime now)
{
    LOG4CPLUS_WARN(requestLog(),
                   "event=cut request=" << logText(request.id)
                                        << " route=" << logText(request.route->name)
                                        << " ms=" << milliseconds(now - request.readAt));
}

void RequestReport::onRolloutReply(const BackendRecord &backend, bool isFailure, bool isSlow)
{
    const char *result = isFailure ? "failure" : (isSlow ? "slow" : "good");
    m_metrics
        .counter("pimentoward_rollout_replies_total",
                 "Replies of backend servers whose service is under roll-out",
                 {{"service", backend.service}, {"version", backend.version}, {"result", result}})
        .add();
}

void RequestReport::onVersionBad(const BackendRecord &backend)
{
    LOG4CPLUS_WARN(requestLog(),
                   "event=rollout-bad service=" << backend.service << " backend=" << backend.id
                                                << " version=" << backend.version);
}

} // namespace pimentoward
