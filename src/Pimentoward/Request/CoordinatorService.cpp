#include "Pimentoward/Request/CoordinatorService.h"

#include "Pimentoward/Process/OperatorSettings.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace pimentoward {

namespace {

constexpr double hundredPercent = 100;
/// The answer margin is at most the time allowed for the query divided by this.
constexpr int marginDivisor = 10;

} // namespace

CoordinatorService::CoordinatorService(ServiceName name, const Settings &settings,
                                       const Clock &clock, ReplicaChooser &chooser)
    : m_name(std::move(name))
    , m_settings(settings)
    , m_clock(clock)
    , m_chooser(chooser)
    , m_policy(settings.hedge)
    , m_environment {m_policy,
                     [this](const Shard &shard, const std::vector<BackendServerId> &avoid,
                            ReplicaChooser::Purpose purpose, SteadyTime now) {
                         refreshServerStatuses();
                         return m_chooser.choose(
                             shard, avoid, purpose, now,
                             [this](const BackendServerId &id) { return serverStatus(id); });
                     },
                     {},
                     settings.checks}
{
    if (settings.restartsOnVersionGone) {
        m_environment.planOnOtherVersion
            = [this](const QueryPlan &plan) { return planOnOtherVersion(plan); };
    }
}

void CoordinatorService::updateView(const std::shared_ptr<const ControlView> &view,
                                    const FailureDomain &localDomain)
{
    const bool hasNewSettings = m_view == nullptr || m_view->settings != view->settings;
    m_view = view;
    m_localDomain = localDomain;
    if (const auto found = view->services.find(m_name); found != view->services.end()) {
        m_catalog = found->second;
    }
    m_statusesValidUntil = {};
    if (hasNewSettings) {
        m_policy.update(hedgeSettings());
    }
}

std::optional<QueryPlan> CoordinatorService::plan(const RequestId &id, const CallerRequest &request,
                                                  Reason &reason)
{
    const SettingsDocument &settings = *m_view->settings;
    QueryPlan plan;
    plan.requestId = id;
    plan.service = m_name;
    if (request.isLookup()) {
        plan.position = KeyRange::positionOf(request.key);
    }
    const IndexVersionEntry *version = chooseVersion({m_clock.wallNow(), plan.position, {}});
    if (version == nullptr) {
        reason = {ResultCode::VersionGone, "no index version is released"};
        return std::nullopt;
    }
    pin(plan, *version);
    const Duration timeAllowed = request.deadline.value_or(
        settings.milliseconds(operator_settings::queryDeadline, m_name));
    plan.deadline = m_clock.now() + timeAllowed;
    plan.answerMargin
        = std::min<Duration>(settings.milliseconds(operator_settings::answerMargin, m_name),
                             timeAllowed / marginDivisor);
    plan.coverageFirst = settings.value(operator_settings::partialAnswer, m_name)
        == operator_settings::coverageFirstMode;
    plan.coverageTarget = settings.real(operator_settings::coverageTarget, m_name) / hundredPercent;
    return plan;
}

void CoordinatorService::onPrimariesSent(unsigned count)
{
    for (unsigned primary = 0; primary < count; ++primary) {
        m_policy.addPrimary(m_clock.now());
    }
}

void CoordinatorService::onSubreply(const Subreply &reply)
{
    if (reply.code != ResultCode::VersionGone) {
        return;
    }
    const SteadyTime now = m_clock.now();
    for (auto entry = m_missingVersions.begin(); entry != m_missingVersions.end();) {
        entry = entry->second <= now ? m_missingVersions.erase(entry) : std::next(entry);
    }
    m_missingVersions[{reply.backendServer, reply.version}]
        = now + m_settings.missingVersionRetention;
}

nlohmann::json CoordinatorService::dump() const
{
    const auto delay = m_policy.hedgeDelay();
    nlohmann::json result {{"hedges", m_policy.hedgeBudget().acquired()},
                           {"hedgesRefused", m_policy.hedgeBudget().refused()},
                           {"retries", m_policy.retryBudget().acquired()},
                           {"retriesRefused", m_policy.retryBudget().refused()},
                           {"versionsGone", m_missingVersions.size()}};
    if (delay) {
        result["hedgeDelayMicros"]
            = std::chrono::duration_cast<std::chrono::microseconds>(*delay).count();
    }
    return result;
}

void CoordinatorService::refreshServerStatuses()
{
    const SteadyTime now = m_clock.now();
    if (now < m_statusesValidUntil) {
        return;
    }
    m_statusesValidUntil = now + m_settings.statusRefreshPeriod;
    m_serverStatuses.clear();
    const WallTime time = m_clock.wallNow();
    std::map<FailureDomain, bool> isDomainOut;
    for (const auto &[id, server] : m_catalog->backendServers) {
        const FailureDomain &domain = server.failureDomain;
        if (isDomainOut.count(domain) == 0) {
            isDomainOut[domain] = m_view->settings->isOutOfService(domain);
        }
        m_serverStatuses[id] = {m_catalog->canAcceptNewWork(server, time) && !isDomainOut[domain],
                                m_view->owners.count(id) > 0, domain == m_localDomain};
    }
}

HedgePolicy::Settings CoordinatorService::hedgeSettings() const
{
    const SettingsDocument &operatorSettings = *m_view->settings;
    HedgePolicy::Settings settings = m_settings.hedge;
    settings.quantilePercent = operatorSettings.real(operator_settings::hedgeQuantile, m_name);
    settings.hedges.percent = operatorSettings.real(operator_settings::hedgeBudget, m_name);
    settings.retries.percent = operatorSettings.real(operator_settings::retryBudget, m_name);
    return settings;
}

ReplicaChooser::ServerStatus
CoordinatorService::serverStatus(const BackendServerId &backendServer) const
{
    const auto found = m_serverStatuses.find(backendServer);
    // A replica that is missing from the newest catalog gets no new work.
    return found == m_serverStatuses.end() ? ReplicaChooser::ServerStatus {false, false, false}
                                           : found->second;
}

bool CoordinatorService::serves(const BackendServerId &backendServer, IndexVersion version) const
{
    const ReplicaChooser::ServerStatus status = serverStatus(backendServer);
    const auto missing = m_missingVersions.find({backendServer, version});
    const bool isMissing = missing != m_missingVersions.end() && m_clock.now() < missing->second;
    return status.canAcceptNewWork && status.hasOwner && !isMissing;
}

const IndexVersionEntry *CoordinatorService::chooseVersion(const SnapshotChooser::Query &query)
{
    refreshServerStatuses();
    return SnapshotChooser::choose(
        *m_catalog, query,
        [this](const BackendServerId &id, IndexVersion version) { return serves(id, version); });
}

std::optional<QueryPlan> CoordinatorService::planOnOtherVersion(const QueryPlan &plan)
{
    SnapshotChooser::Query query {m_clock.wallNow(), plan.position, plan.unavailableVersions};
    query.unavailableVersions.push_back(plan.version);
    const IndexVersionEntry *version = chooseVersion(query);
    if (version == nullptr) {
        return std::nullopt;
    }
    // A restart helps only if the other version covers more than the pinned one still can.
    const auto servesHook
        = [this](const BackendServerId &id, IndexVersion number) { return serves(id, number); };
    const auto pinned
        = std::find_if(m_catalog->versions.begin(), m_catalog->versions.end(),
                       [&](const auto &entry) { return entry.version == plan.version; });
    const bool isBetter = pinned == m_catalog->versions.end()
        || SnapshotChooser::servedPositions(*version, query, servesHook)
            > SnapshotChooser::servedPositions(*pinned, query, servesHook);
    if (!isBetter) {
        return std::nullopt;
    }
    QueryPlan other = plan;
    other.unavailableVersions = query.unavailableVersions;
    pin(other, *version);
    return other;
}

void CoordinatorService::pin(QueryPlan &plan, const IndexVersionEntry &version)
{
    plan.version = version.version;
    plan.shards = plan.position ? std::vector<Shard> {version.shards->shardAt(*plan.position)}
                                : version.shards->shards();
}

} // namespace pimentoward
