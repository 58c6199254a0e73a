#include "tests/support/QuerySimulation.h"

#include "Pimentoward/Process/OperatorSettings.h"

#include <algorithm>

namespace pimentoward::tests {

namespace {

constexpr const char *serviceName = "service";

/// Returns the body of a reply. Its only record names the request, index version and shard to which
/// the reply belongs.
std::string bodyOf(const RequestId &request, IndexVersion version, const ShardName &shard)
{
    return "[\"" + request + "|" + std::to_string(version) + "|" + shard + "\"]";
}

} // namespace

void QuerySimulation::Findings::add(const Findings &other)
{
    mixedVersions += other.mixedVersions;
    mismatchedRecords += other.mismatchedRecords;
    truncatedBodies += other.truncatedBodies;
    wrongCoverage += other.wrongCoverage;
    notAnsweredOnce += other.notAnsweredOnce;
    extraRequestsAboveBudget += other.extraRequestsAboveBudget;
    sentAfterOutOfService += other.sentAfterOutOfService;
    falseNotRun += other.falseNotRun;
    extraRequestsToColdServers += other.extraRequestsToColdServers;
    completeAnswers += other.completeAnswers;
    errors += other.errors;
    primaries += other.primaries;
    extraRequests += other.extraRequests;
    latencies.insert(latencies.end(), other.latencies.begin(), other.latencies.end());
}

QuerySimulation::QuerySimulation(const Settings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_coordinator(
          nullptr, m_clock, "vm-1", "r",
          {[this](const MemberId &, const SubrequestBatch &batch) { return onBatch(batch); },
           [](const MemberId &, const SubrequestCancel &) { return true; }},
          settings.coordinator)
{
    m_catalog.name = serviceName;
    m_document.defaults = settings.operatorSettings;
    if (settings.coverageFirst) {
        m_document.defaults[operator_settings::partialAnswer]
            = operator_settings::coverageFirstMode;
    }
    release(1, settings.shards);
    for (unsigned query = 0; query < settings.queries; ++query) {
        after(settings.queryPeriod * query, [this] { startQuery(); });
    }
}

void QuerySimulation::after(Duration delay, std::function<void()> event)
{
    m_events.push({m_clock.now() + delay, m_nextEvent++, std::move(event)});
}

void QuerySimulation::release(IndexVersion version, std::size_t shards)
{
    addVersion(m_catalog, version, shards, m_clock.wallNow());
    publish();
}

void QuerySimulation::setUnresponsive(const BackendServerId &backendServer, bool isUnresponsive)
{
    if (isUnresponsive) {
        m_unresponsive.insert(backendServer);
    } else {
        m_unresponsive.erase(backendServer);
    }
}

void QuerySimulation::takeOutOfService(const FailureDomain &failureDomain)
{
    m_outOfServiceSince[failureDomain] = m_clock.now();
    m_document.exceptions.push_back({ExceptionScope::OneFailureDomain, failureDomain,
                                     operator_settings::outOfService, "true", "test"});
    publish();
}

void QuerySimulation::schedule(const std::vector<ScheduleEntry> &entries)
{
    Reason reason;
    m_catalog.schedule = IndexSchedule::build(entries, reason).value();
    publish();
}

void QuerySimulation::publish()
{
    auto view = std::make_shared<ControlView>();
    view->members["vm-1"] = {"vm-1", "127.0.0.1", "a"};
    view->contactUntil = SteadyTime::max();
    for (const auto &[id, server] : m_catalog.backendServers) {
        view->owners[id] = "vm-" + server.failureDomain;
    }
    view->services[serviceName] = std::make_shared<const ServiceCatalog>(m_catalog);
    view->settings = std::make_shared<const SettingsDocument>(m_document);
    m_coordinator.updateView(view);
}

QuerySimulation::Findings QuerySimulation::run()
{
    // The run ends at a fixed time, because a query whose deadline is not enforced would request
    // hedges without end.
    const SteadyTime end = m_clock.now() + m_settings.queryPeriod * m_settings.queries
        + m_settings.deadline + std::chrono::seconds(1);
    while (m_clock.now() < end) {
        const auto timer = m_coordinator.nextTimer();
        const bool isTimerFirst = timer && *timer < SteadyTime::max()
            && (m_events.empty() || *timer <= m_events.top().time);
        if (!isTimerFirst && m_events.empty()) {
            break;
        }
        const SteadyTime next = isTimerFirst ? *timer : m_events.top().time;
        m_clock.advance(std::max(Duration(0), next - m_clock.now()));
        if (isTimerFirst) {
            m_coordinator.onTimer();
            continue;
        }
        const auto event = m_events.top().run;
        m_events.pop();
        event();
    }
    for (const auto &[id, query] : m_queries) {
        m_findings.notAnsweredOnce += query.answers == 1 ? 0 : 1;
    }
    const auto share = [&](const char *setting) { return m_document.real(setting) / 100; };
    for (const auto &[second, counts] : m_requestsBySecond) {
        const auto [primaries, extraRequests] = counts;
        const double retries = std::max(1.0, primaries * share(operator_settings::retryBudget));
        const double allowed = primaries * share(operator_settings::hedgeBudget) + retries;
        m_findings.extraRequestsAboveBudget += std::max(0.0, extraRequests - allowed);
        m_findings.primaries += primaries;
        m_findings.extraRequests += extraRequests;
    }
    return m_findings;
}

bool QuerySimulation::chance(double share)
{
    constexpr std::uint32_t steps = 1U << 20;
    return static_cast<double>(m_random() % steps) < share * steps;
}

Duration QuerySimulation::serviceTime(const BackendServerId &backendServer)
{
    constexpr std::int64_t steps = 1024;
    const bool isSlow = m_settings.slowServers.count(backendServer) > 0;
    Duration time = m_settings.serviceTime / 2
        + m_settings.serviceTime * static_cast<std::int64_t>(m_random() % steps) / steps;
    time *= isSlow ? m_settings.slowFactor : 1;
    return chance(m_settings.stragglers) ? time * m_settings.stragglerFactor : time;
}

bool QuerySimulation::onBatch(const SubrequestBatch &batch)
{
    constexpr std::int64_t steps = 1024;
    if (chance(m_settings.unsent)) {
        return false;
    }
    for (const SubrequestItem &item : batch.items) {
        recordSend(batch, item);
        const Duration transferDelay
            = m_settings.maxTransferDelay * static_cast<std::int64_t>(m_random() % steps) / steps;
        after(transferDelay, [this, batch, item] { serve(batch, item); });
    }
    return true;
}

void QuerySimulation::recordSend(const SubrequestBatch &batch, const SubrequestItem &item)
{
    const BackendServer &server = m_catalog.backendServers.at(item.backendServer);
    const auto out = m_outOfServiceSince.find(server.failureDomain);
    const bool isOutOfService = out != m_outOfServiceSince.end()
        && m_clock.now() - out->second >= std::chrono::milliseconds(150);
    m_findings.sentAfterOutOfService += isOutOfService ? 1 : 0;
    Query &query = m_queries[batch.requestId];
    query.firstVersion = query.firstVersion.value_or(batch.version);
    const auto time = m_clock.now().time_since_epoch();
    auto &[primaries, extraRequests]
        = m_requestsBySecond[std::chrono::floor<std::chrono::seconds>(time).count()];
    // A subrequest is an extra request if an earlier one for the same index version and shard has
    // run or may run.
    const auto [part, isFirst] = query.runs.try_emplace({batch.version, item.shard}, 0);
    const bool isExtra = part->second > 0;
    extraRequests += isExtra ? 1 : 0;
    m_findings.extraRequestsToColdServers
        += isExtra && m_lastReportedCold[item.backendServer] ? 1 : 0;
    primaries += isFirst && batch.version == *query.firstVersion ? 1 : 0;
    ++part->second;
}

void QuerySimulation::serve(const SubrequestBatch &batch, const SubrequestItem &item)
{
    if (m_unresponsive.count(item.backendServer) > 0 || chance(m_settings.lost)) {
        return;
    }
    Subreply subreply;
    subreply.requestId = batch.requestId;
    subreply.number = item.number;
    subreply.shard = item.shard;
    subreply.backendServer = item.backendServer;
    subreply.version = batch.version;
    const bool isSlow = m_settings.slowServers.count(item.backendServer) > 0;
    subreply.load.limit = 3;
    subreply.load.serviceTime
        = std::chrono::duration_cast<std::chrono::microseconds>(m_settings.serviceTime)
        * (isSlow ? m_settings.slowFactor : 1);
    subreply.load.cold = chance(m_settings.cold);
    const bool isGone = m_dropped.count(batch.version) > 0;
    if (isGone) {
        subreply.code = ResultCode::VersionGone;
    } else if (chance(m_settings.refused)) {
        subreply.code = ResultCode::NotRunOverloaded;
    } else if (chance(m_settings.failed)) {
        subreply.code = ResultCode::BackendFailed;
    }
    if (subreply.code != ResultCode::Ok) {
        const bool hasRun = subreply.code == ResultCode::BackendFailed;
        m_queries[batch.requestId].runs[{batch.version, item.shard}] -= hasRun ? 0 : 1;
        deliver(subreply, serviceTime(item.backendServer), false);
        return;
    }
    subreply.body = bodyOf(batch.requestId, batch.version, item.shard);
    reply(batch, std::move(subreply));
}

void QuerySimulation::reply(const SubrequestBatch &batch, Subreply subreply)
{
    const Duration time = serviceTime(subreply.backendServer);
    if (chance(m_settings.mismatched)) {
        Subreply mismatched = subreply;
        mismatched.number += m_random() % 2 == 0 ? 1 : 1000;
        mismatched.requestId = "r-" + std::to_string(m_nextQuery - 1);
        mismatched.body = bodyOf("another", batch.version, subreply.shard);
        deliver(mismatched, time / 2, false);
    }
    if (chance(m_settings.wrongVersion)) {
        ++subreply.version;
        subreply.body = bodyOf(batch.requestId, subreply.version, subreply.shard);
        deliver(subreply, time, false);
        return;
    }
    if (chance(m_settings.truncatedBody)) {
        subreply.body.pop_back();
        deliver(subreply, time, false);
        return;
    }
    deliver(subreply, time, true);
    if (chance(m_settings.duplicated)) {
        deliver(subreply, time + serviceTime(subreply.backendServer), true);
    }
}

void QuerySimulation::deliver(const Subreply &reply, Duration delay, bool isCorrect)
{
    after(delay, [this, reply, isCorrect] {
        if (isCorrect) {
            m_queries[reply.requestId].delivered[reply.version].insert(reply.shard);
        }
        m_lastReportedCold[reply.backendServer] = reply.load.cold;
        m_coordinator.onSubreply(reply);
    });
}

void QuerySimulation::startQuery()
{
    CallerRequest request;
    request.service = serviceName;
    request.field = "badge";
    request.value = "Otter";
    request.deadline = m_settings.deadline;
    // The coordinator numbers its requests in the order of their arrival.
    Query &query = m_queries["r-" + std::to_string(m_nextQuery++)];
    query.start = m_clock.now();
    m_coordinator.query(request,
                        [this, &query](const QueryAnswer &answer) { onAnswer(query, answer); });
}

void QuerySimulation::onAnswer(Query &query, const QueryAnswer &answer)
{
    const Duration time = m_clock.now() - query.start;
    query.answers += time <= m_settings.deadline ? 1 : 2;
    m_findings.latencies.push_back(time);
    m_findings.completeAnswers += answer.outcome.code == ResultCode::Ok ? 1 : 0;
    const bool isError = resultCodeInfo(answer.outcome.code).httpStatus != 200;
    m_findings.errors += isError ? 1 : 0;
    checkRecords(query, answer);
    const bool hasRun = std::any_of(query.runs.begin(), query.runs.end(),
                                    [](const auto &part) { return part.second > 0; });
    m_findings.falseNotRun += hasRun && promisesNotRun(answer.outcome.code) ? 1 : 0;
    if (isError) {
        m_findings.wrongCoverage += answer.coverage == 0 && answer.recordArrays.empty() ? 0 : 1;
        return;
    }
    const auto version
        = std::find_if(m_catalog.versions.begin(), m_catalog.versions.end(),
                       [&](const auto &entry) { return entry.version == answer.version; });
    const std::set<ShardName> &delivered = query.delivered[answer.version];
    std::uint64_t covered = 0;
    std::vector<ShardName> missing;
    for (const Shard &shard : version->shards->shards()) {
        if (delivered.count(shard.name) > 0) {
            covered += shard.range.size();
        } else {
            missing.push_back(shard.name);
        }
    }
    const double coverage = static_cast<double>(covered) / KeyRange::keySpaceSize;
    const bool isConsistent = std::abs(answer.coverage - coverage) < 1e-9
        && answer.missingShards == missing
        && (answer.outcome.code == ResultCode::Ok) == missing.empty();
    m_findings.wrongCoverage += isConsistent ? 0 : 1;
}

void QuerySimulation::checkRecords(const Query &, const QueryAnswer &answer)
{
    std::set<std::string> seen;
    bool isMixed = false;
    bool isMismatched = false;
    bool isTruncated = false;
    for (const std::string &body : answer.recordArrays) {
        isTruncated = isTruncated || body.back() != ']';
        const std::string version = "|" + std::to_string(answer.version) + "|";
        isMixed = isMixed || body.find(version) == std::string::npos;
        isMismatched = isMismatched || body.find("\"" + answer.requestId + "|") == std::string::npos
            || !seen.insert(body).second;
    }
    m_findings.mixedVersions += isMixed ? 1 : 0;
    m_findings.mismatchedRecords += isMismatched ? 1 : 0;
    m_findings.truncatedBodies += isTruncated ? 1 : 0;
}

} // namespace pimentoward::tests
