#include "Pimentoward/Process/ServingTask.h"

#include "Pimentoward/Core/Log.h"

namespace pimentoward {

namespace {

/// Length of the window over which distributions are computed.
constexpr std::chrono::seconds metricsWindow {60};
/// Interval at which changed reports on roll-outs are handed on.
constexpr std::chrono::milliseconds rolloutReportPeriod {700};
constexpr int statusUnavailable = 503;

/// The kind of a record as the metrics name it.
const char *labelOf(RecordKind kind)
{
    switch (kind) {
    case RecordKind::StoreEntry:
        return "entry";
    case RecordKind::BackendServer:
        return "backend";
    case RecordKind::Vm:
        return "member";
    case RecordKind::Settings:
        return "settings";
    }
    return "";
}

} // namespace

ServingTask::ServingTask(const ServingTaskSettings &settings)
    : m_settings(settings)
    , m_sharing(m_task.loop(), settings.sharing, settings.forwarder.fleet.self, m_metrics)
    , m_forwarder(m_task.loop(), settings.forwarder, m_metrics)
    , m_callers(m_task.loop(), settings.callerBudget, callerHooks())
    , m_readyServer(m_task.loop(), {})
    , m_metricsServer(m_task.loop(), {})
    , m_metricsTimer(m_task.loop(), [this] { m_metrics.rotate(); })
    , m_rolloutTimer(m_task.loop(), [this] { reportRollouts(); })
{
    m_readyServer.route("GET", m_settings.readyPath,
                        [this](const HttpRequest &, const HttpServer::Responder &respond) {
                            respond(readyAnswer());
                        });
    m_metricsServer.route("GET", m_settings.metricsPath,
                          [this](const HttpRequest &, const HttpServer::Responder &respond) {
                              HttpAnswer answer;
                              answer.contentType = "text/plain; version=0.0.4";
                              answer.body = m_metrics.render();
                              respond(answer);
                          });
    addGauges();
    m_metricsTimer.startRepeating(metricsWindow);
}

ServingTask::~ServingTask()
{
    m_task.stop();
}

CallerServer::Hooks ServingTask::callerHooks()
{
    CallerServer::Hooks hooks;
    hooks.connection = connectionHooks();
    hooks.onGaveWay = [this](const CallerBudget::Choice &choice) { reportGaveWay(choice); };
    hooks.backendConnections = [this] { return m_forwarder.fleet().connections(); };
    return hooks;
}

void ServingTask::reportGaveWay(const CallerBudget::Choice &choice)
{
    const char *limit = CallerBudget::name(choice.limit);
    LOG4CPLUS_WARN(Log::part("callers"),
                   "event=caller-gave-way limit=" << limit << " bytes=" << choice.usage.bytes
                                                  << " all_bytes=" << m_callers.heldBytes()
                                                  << " connections=" << m_callers.connections());
    m_metrics
        .counter("pimentoward_callers_gave_way_total",
                 "Connections of callers that gave way to a limit of all callers together",
                 {{"limit", limit}})
        .add();
}

CallerConnection::Hooks ServingTask::connectionHooks()
{
    CallerConnection::Hooks hooks;
    hooks.onRequest = [this](CallerConnection &caller, CallerConnection::Arrival arrival) {
        m_forwarder.onRequest(caller, std::move(arrival));
    };
    hooks.onCallerGone = [this](CallerConnection &caller) { m_forwarder.onCallerGone(caller); };
    hooks.onRefused = [this](int status, const char *reason) {
        LOG4CPLUS_WARN(Log::part("callers"),
                       "event=unreadable-request status=" << status << " reason=\"" << reason
                                                          << '"');
        m_metrics
            .counter("pimentoward_requests_unreadable_total", "Requests refused while being read",
                     {{"status", std::to_string(status)}})
            .add();
    };
    return hooks;
}

void ServingTask::addGauges()
{
    m_metrics.gauge("pimentoward_requests_running", "Requests that have no answer yet",
                    [this] { return static_cast<double>(m_forwarder.running()); });
    m_metrics.gauge("pimentoward_caller_connections", "Connections of callers",
                    [this] { return static_cast<double>(m_callers.connections()); });
    m_metrics.gauge("pimentoward_caller_bytes", "Memory of the connections of callers, in bytes",
                    [this] { return static_cast<double>(m_callers.heldBytes()); });
    m_metrics.gauge("pimentoward_backend_servers", "Backend servers in service",
                    [this] { return static_cast<double>(m_forwarder.fleet().size()); });
    m_metrics.gauge("pimentoward_backend_connections", "Connections to backend servers",
                    [this] { return static_cast<double>(m_forwarder.fleet().connections()); });
    m_metrics.gauge(
        "pimentoward_backend_connections_opened", "Connections opened to backend servers",
        [this] { return static_cast<double>(m_forwarder.fleet().connectionsOpened()); });
}

HttpAnswer ServingTask::readyAnswer() const
{
    HttpAnswer answer;
    answer.contentType = "text/plain";
    if (m_isStopping || !m_forwarder.canServe()) {
        answer.status = statusUnavailable;
        answer.body = m_isStopping ? "stopping\n" : "settings not known\n";
    } else {
        answer.body = "ready\n";
    }
    return answer;
}

bool ServingTask::listen(Reason &reason)
{
    if (!m_callers.listen(m_settings.callerListen, reason)
        || !m_readyServer.listen(m_settings.readyListen, reason)) {
        return false;
    }
    return !m_settings.metricsListen || m_metricsServer.listen(*m_settings.metricsListen, reason);
}

void ServingTask::postRoutes(RouteTablePtr routes)
{
    m_task.post([this, routes = std::move(routes)] {
        m_callers.changeLimits(routes->limits());
        m_forwarder.changeRoutes(routes);
        if (RequestAdmission *admission = m_sharing.changeWorkspaces(routes->workspaces())) {
            m_forwarder.changeAdmission(admission);
        }
    });
}

void ServingTask::postBackends(BackendListPtr backends)
{
    m_task.post([this, backends = std::move(backends)] { m_forwarder.changeBackends(backends); });
}

void ServingTask::postMembers(std::vector<MemberId> members)
{
    m_task.post([this, members = std::move(members)] { m_forwarder.changeMembers(members); });
}

void ServingTask::postUnusableRecords(RecordKind kind, std::size_t count)
{
    m_task.post([this, kind, count] {
        m_metrics
            .counter("pimentoward_records_unusable_total",
                     "Records of the store that were read and cannot be used",
                     {{"kind", labelOf(kind)}})
            .add(count);
    });
}

void ServingTask::postVms(const VmView &view)
{
    m_task.post([this, view] { m_sharing.changeVms(view); });
}

void ServingTask::postRecordsOutdated(bool areOutdated)
{
    m_task.post([this, areOutdated] { m_forwarder.changeRecordsOutdated(areOutdated); });
}

void ServingTask::postAdmission(RequestAdmission *admission)
{
    m_task.post([this, admission] { m_forwarder.changeAdmission(admission); });
}

void ServingTask::postRollouts(RolloutTablePtr rollouts)
{
    m_task.post([this, rollouts = std::move(rollouts)] { m_forwarder.changeRollouts(rollouts); });
}

void ServingTask::setRolloutReportHook(std::function<void(std::vector<RolloutReport>)> hook)
{
    m_onRolloutReports = std::move(hook);
    if (m_settings.forwarder.rollouts.plan.maxShare > 0) {
        m_rolloutTimer.startRepeating(rolloutReportPeriod);
    }
}

void ServingTask::reportRollouts()
{
    if (auto reports = m_forwarder.takeRolloutReports(); !reports.empty()) {
        m_onRolloutReports(std::move(reports));
    }
}

void ServingTask::postSharedLimits(const SharedRetryBudget::Settings &retries,
                                   const ColdLimit::Settings &cold)
{
    m_task.post([this, retries, cold] { m_forwarder.changeSharedLimits(retries, cold); });
}

void ServingTask::postNotReady(SteadyTime lastAnswerAt)
{
    m_task.post([this, lastAnswerAt] {
        m_isStopping = true;
        m_callers.closeAfterReplies();
        m_forwarder.changeLastAnswerTime(lastAnswerAt);
    });
}

void ServingTask::postCloseIdle()
{
    m_task.post([this] { m_callers.closeIdle(); });
}

void ServingTask::postStopAccepting(std::function<void()> hook)
{
    m_task.post([this, hook = std::move(hook)] {
        m_callers.stopListening();
        m_callers.closeIdle();
        hook();
    });
}

void ServingTask::postRunningCount(std::function<void(std::size_t)> hook)
{
    m_task.post([this, hook = std::move(hook)] { hook(m_callers.unanswered()); });
}

} // namespace pimentoward
