#include "Pimentoward/Request/CoordinatorService.h"

#include "Pimentoward/Process/OperatorSettings.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace pimentoward {

namespace {

constexpr double percent = 100;
/// The answer's margin is at most this part of the deadline.
constexpr int marginPart = 10;

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
                         refreshStandings();
                         return m_chooser.choose(
                             shard, avoid, purpose, now,
                             [this](const BackendServerId &id) { return standing(id); });
                     },
                     {},
                     settings.checks}
{
    if (settings.restartsOnVersionGone) {
        m_environment.otherVersion = [this](const QueryPlan &plan) { return otherVersion(plan); };
    }
}

void CoordinatorService::updateView(const std::shared_ptr<const ControlView> &view,
                                    const FailureDomain &near)
{
    const bool hasNewSettings = m_view == nullptr || m_view->settings != view->settings;
    m_view = view;
    m_near = near;
    if (const auto found = view->services.find(m_name); found != view->services.end()) {
        m_catalog = found->second;
    }
    m_standingsUntil = {};
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
    const Duration time = request.deadline.value_or(
        settings.milliseconds(operator_settings::queryDeadline, m_name));
    plan.deadline = m_clock.now() + time;
    plan.answerMargin = std::min<Duration>(
        settings.milliseconds(operator_settings::answerMargin, m_name), time / marginPart);
    plan.coverageFirst = settings.value(operator_settings::partialAnswer, m_name)
        == operator_settings::coverageFirstMode;
    plan.coverageTarget = settings.real(operator_settings::coverageTarget, m_name) / percent;
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
    for (auto entry = m_gone.begin(); entry != m_gone.end();) {
        entry = entry->second <= now ? m_gone.erase(entry) : std::next(entry);
    }
    m_gone[{reply.backendServer, reply.version}] = now + m_settings.goneMemory;
}

nlohmann::json CoordinatorService::dump() const
{
    const auto delay = m_policy.hedgeDelay();
    nlohmann::json result {{"hedges", m_policy.hedgeBudget().taken()},
                           {"hedgesRefused", m_policy.hedgeBudget().refused()},
                           {"retries", m_policy.retryBudget().taken()},
                           {"retriesRefused", m_policy.retryBudget().refused()},
                           {"versionsGone", m_gone.size()}};
    if (delay) {
        result["hedgeDelayMicros"]
            = std::chrono::duration_cast<std::chrono::microseconds>(*delay).count();
    }
    return result;
}

void CoordinatorService::refreshStandings()
{
    const SteadyTime now = m_clock.now();
    if (now < m_standingsUntil) {
        return;
    }
    m_standingsUntil = now + m_settings.schedulePeriod;
    m_standings.clear();
    const WallTime time = m_clock.wallNow();
    std::map<FailureDomain, bool> domainsOut;
    for (const auto &[id, server] : m_catalog->backendServers) {
        const FailureDomain &domain = server.failureDomain;
        if (domainsOut.count(domain) == 0) {
            domainsOut[domain] = m_view->settings->isOut(domain);
        }
        m_standings[id] = {m_catalog->mayTakeNewWork(server, time) && !domainsOut[domain],
                           m_view->owners.count(id) > 0, domain == m_near};
    }
}

HedgePolicy::Settings CoordinatorService::hedgeSettings() const
{
    const SettingsDocument &operators = *m_view->settings;
    HedgePolicy::Settings settings = m_settings.hedge;
    settings.quantilePercent = operators.real(operator_settings::hedgeQuantile, m_name);
    settings.hedges.percent = operators.real(operator_settings::hedgeBudget, m_name);
    settings.retries.percent = operators.real(operator_settings::retryBudget, m_name);
    return settings;
}

ReplicaChooser::Standing CoordinatorService::standing(const BackendServerId &backendServer) const
{
    const auto found = m_standings.find(backendServer);
    // A replica that the newest catalog does not know any more gets no new work.
    return found == m_standings.end() ? ReplicaChooser::Standing {false, false, false}
                                      : found->second;
}

bool CoordinatorService::serves(const BackendServerId &backendServer, IndexVersion version) const
{
    const ReplicaChooser::Standing known = standing(backendServer);
    const auto gone = m_gone.find({backendServer, version});
    const bool isGone = gone != m_gone.end() && m_clock.now() < gone->second;
    return known.mayTakeNewWork && known.hasOwner && !isGone;
}

const IndexVersionEntry *CoordinatorService::chooseVersion(const SnapshotChooser::Query &query)
{
    refreshStandings();
    return SnapshotChooser::choose(
        *m_catalog, query,
        [this](const BackendServerId &id, IndexVersion version) { return serves(id, version); });
}

std::optional<QueryPlan> CoordinatorService::otherVersion(const QueryPlan &plan)
{
    SnapshotChooser::Query query {m_clock.wallNow(), plan.position, plan.lost};
    query.lost.push_back(plan.version);
    const IndexVersionEntry *version = chooseVersion(query);
    if (version == nullptr) {
        return std::nullopt;
    }
    // Only where the other version promises more than the pinned one still can.
    const auto hook
        = [this](const BackendServerId &id, IndexVersion number) { return serves(id, number); };
    const auto pinned
        = std::find_if(m_catalog->versions.begin(), m_catalog->versions.end(),
                       [&](const auto &entry) { return entry.version == plan.version; });
    const bool isBetter = pinned == m_catalog->versions.end()
        || SnapshotChooser::served(*version, query, hook)
            > SnapshotChooser::served(*pinned, query, hook);
    if (!isBetter) {
        return std::nullopt;
    }
    QueryPlan other = plan;
    other.lost = query.lost;
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
