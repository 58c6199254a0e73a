#include "tests/support/QueryFake.h"

#include "Pimentoward/Process/OperatorSettings.h"

#include <algorithm>

namespace pimentoward::tests {

namespace {

constexpr const char *serviceName = "service";

/// The only record of a reply: whose it is.
std::string bodyOf(const RequestId &request, IndexVersion version, const ShardName &shard)
{
    return "[\"" + request + "|" + std::to_string(version) + "|" + shard + "\"]";
}

} // namespace

void QueryFake::Findings::add(const Findings &other)
{
    mixedVersions += other.mixedVersions;
    foreignRecords += other.foreignRecords;
    cutBodies += other.cutBodies;
    wrongCoverage += other.wrongCoverage;
    notAnsweredOnce += other.notAnsweredOnce;
    extrasAboveBudget += other.extrasAboveBudget;
    newWorkAfterOut += other.newWorkAfterOut;
    falseNotRun += other.falseNotRun;
    extrasOntoCold += other.extrasOntoCold;
    wholeAnswers += other.wholeAnswers;
    errors += other.errors;
    primaries += other.primaries;
    extras += other.extras;
    latencies.insert(latencies.end(), other.latencies.begin(), other.latencies.end());
}

QueryFake::QueryFake(const Settings &settings)
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
        at(settings.queryPeriod * query, [this] { startQuery(); });
    }
}

void QueryFake::at(Duration delay, std::function<void()> event)
{
    m_events.push({m_clock.now() + delay, m_nextEvent++, std::move(event)});
}

void QueryFake::release(IndexVersion version, std::size_t shards)
{
    addVersion(m_catalog, version, shards, m_clock.wallNow());
    publish();
}

void QueryFake::silence(const BackendServerId &backendServer, bool isSilent)
{
    if (isSilent) {
        m_silent.insert(backendServer);
    } else {
        m_silent.erase(backendServer);
    }
}

void QueryFake::takeOut(const FailureDomain &failureDomain)
{
    m_outSince[failureDomain] = m_clock.now();
    m_document.exceptions.push_back({ExceptionScope::OneFailureDomain, failureDomain,
                                     operator_settings::outOfService, "true", "test"});
    publish();
}

void QueryFake::schedule(const std::vector<ScheduleEntry> &entries)
{
    Reason reason;
    m_catalog.schedule = IndexSchedule::build(entries, reason).value();
    publish();
}

void QueryFake::publish()
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

QueryFake::Findings QueryFake::run()
{
    // A query without a deadline asks for hedges for ever.
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
    for (const auto &[second, counts] : m_seconds) {
        const auto [primaries, extras] = counts;
        const double retries = std::max(1.0, primaries * share(operator_settings::retryBudget));
        const double allowed = primaries * share(operator_settings::hedgeBudget) + retries;
        m_findings.extrasAboveBudget += std::max(0.0, extras - allowed);
        m_findings.primaries += primaries;
        m_findings.extras += extras;
    }
    return m_findings;
}

bool QueryFake::happens(double share)
{
    constexpr std::uint32_t steps = 1U << 20;
    return static_cast<double>(m_random() % steps) < share * steps;
}

Duration QueryFake::serviceTime(const BackendServerId &backendServer)
{
    constexpr std::int64_t steps = 1024;
    const bool isSlow = m_settings.slowServers.count(backendServer) > 0;
    Duration time = m_settings.serviceTime / 2
        + m_settings.serviceTime * static_cast<std::int64_t>(m_random() % steps) / steps;
    time *= isSlow ? m_settings.slowFactor : 1;
    return happens(m_settings.stragglers) ? time * m_settings.stragglerFactor : time;
}

bool QueryFake::onBatch(const SubrequestBatch &batch)
{
    constexpr std::int64_t steps = 1024;
    if (happens(m_settings.unsent)) {
        return false;
    }
    for (const SubrequestItem &item : batch.items) {
        recordSend(batch, item);
        const Duration hop
            = m_settings.longestHop * static_cast<std::int64_t>(m_random() % steps) / steps;
        at(hop, [this, batch, item] { serve(batch, item); });
    }
    return true;
}

void QueryFake::recordSend(const SubrequestBatch &batch, const SubrequestItem &item)
{
    const BackendServer &server = m_catalog.backendServers.at(item.backendServer);
    const auto out = m_outSince.find(server.failureDomain);
    const bool isOut
        = out != m_outSince.end() && m_clock.now() - out->second >= std::chrono::milliseconds(150);
    m_findings.newWorkAfterOut += isOut ? 1 : 0;
    Query &query = m_queries[batch.requestId];
    query.firstVersion = query.firstVersion.value_or(batch.version);
    const auto time = m_clock.now().time_since_epoch();
    auto &[primaries, extras] = m_seconds[std::chrono::floor<std::chrono::seconds>(time).count()];
    // A subrequest is extra where one for the same part has run before, or may run.
    const auto [part, isFirst] = query.ran.try_emplace({batch.version, item.shard}, 0);
    const bool isExtra = part->second > 0;
    extras += isExtra ? 1 : 0;
    m_findings.extrasOntoCold += isExtra && m_lastCold[item.backendServer] ? 1 : 0;
    primaries += isFirst && batch.version == *query.firstVersion ? 1 : 0;
    ++part->second;
}

void QueryFake::serve(const SubrequestBatch &batch, const SubrequestItem &item)
{
    if (m_silent.count(item.backendServer) > 0 || happens(m_settings.lost)) {
        return;
    }
    Subreply whole;
    whole.requestId = batch.requestId;
    whole.number = item.number;
    whole.shard = item.shard;
    whole.backendServer = item.backendServer;
    whole.version = batch.version;
    const bool isSlow = m_settings.slowServers.count(item.backendServer) > 0;
    whole.load.limit = 3;
    whole.load.serviceTime
        = std::chrono::duration_cast<std::chrono::microseconds>(m_settings.serviceTime)
        * (isSlow ? m_settings.slowFactor : 1);
    whole.load.cold = happens(m_settings.cold);
    const bool isGone = m_dropped.count(batch.version) > 0;
    if (isGone) {
        whole.code = ResultCode::VersionGone;
    } else if (happens(m_settings.refused)) {
        whole.code = ResultCode::NotRunOverloaded;
    } else if (happens(m_settings.failed)) {
        whole.code = ResultCode::BackendFailed;
    }
    if (whole.code != ResultCode::Ok) {
        const bool hasRun = whole.code == ResultCode::BackendFailed;
        m_queries[batch.requestId].ran[{batch.version, item.shard}] -= hasRun ? 0 : 1;
        deliver(whole, serviceTime(item.backendServer), false);
        return;
    }
    whole.body = bodyOf(batch.requestId, batch.version, item.shard);
    reply(batch, std::move(whole));
}

void QueryFake::reply(const SubrequestBatch &batch, Subreply whole)
{
    const Duration time = serviceTime(whole.backendServer);
    if (happens(m_settings.crossed)) {
        Subreply crossed = whole;
        crossed.number += m_random() % 2 == 0 ? 1 : 1000;
        crossed.requestId = "r-" + std::to_string(m_nextQuery - 1);
        crossed.body = bodyOf("another", batch.version, whole.shard);
        deliver(crossed, time / 2, false);
    }
    if (happens(m_settings.wrongVersion)) {
        ++whole.version;
        whole.body = bodyOf(batch.requestId, whole.version, whole.shard);
        deliver(whole, time, false);
        return;
    }
    if (happens(m_settings.cutBody)) {
        whole.body.pop_back();
        deliver(whole, time, false);
        return;
    }
    deliver(whole, time, true);
    if (happens(m_settings.doubled)) {
        deliver(whole, time + serviceTime(whole.backendServer), true);
    }
}

void QueryFake::deliver(const Subreply &reply, Duration after, bool isGenuine)
{
    at(after, [this, reply, isGenuine] {
        if (isGenuine) {
            m_queries[reply.requestId].delivered[reply.version].insert(reply.shard);
        }
        m_lastCold[reply.backendServer] = reply.load.cold;
        m_coordinator.onSubreply(reply);
    });
}

void QueryFake::startQuery()
{
    CallerRequest request;
    request.service = serviceName;
    request.field = "badge";
    request.value = "Otter";
    request.deadline = m_settings.deadline;
    // The coordinator numbers its requests in the order of their arrival.
    Query &query = m_queries["r-" + std::to_string(m_nextQuery++)];
    query.start = m_clock.now();
    m_coordinator.query(request, [this, &query](const QueryAnswer &a) { onAnswer(query, a); });
}

void QueryFake::onAnswer(Query &query, const QueryAnswer &answer)
{
    const Duration time = m_clock.now() - query.start;
    query.answers += time <= m_settings.deadline ? 1 : 2;
    m_findings.latencies.push_back(time);
    m_findings.wholeAnswers += answer.outcome.code == ResultCode::Ok ? 1 : 0;
    const bool isError = resultCodeInfo(answer.outcome.code).httpStatus != 200;
    m_findings.errors += isError ? 1 : 0;
    checkRecords(query, answer);
    const bool hasRun = std::any_of(query.ran.begin(), query.ran.end(),
                                    [](const auto &part) { return part.second > 0; });
    m_findings.falseNotRun += hasRun && promisesNotRun(answer.outcome.code) ? 1 : 0;
    if (isError) {
        m_findings.wrongCoverage += answer.coverage == 0 && answer.recordArrays.empty() ? 0 : 1;
        return;
    }
    const auto version
        = std::find_if(m_catalog.versions.begin(), m_catalog.versions.end(),
                       [&](const auto &entry) { return entry.version == answer.version; });
    const std::set<ShardName> &sent = query.delivered[answer.version];
    std::uint64_t covered = 0;
    std::vector<ShardName> missing;
    for (const Shard &shard : version->shards->shards()) {
        if (sent.count(shard.name) > 0) {
            covered += shard.range.size();
        } else {
            missing.push_back(shard.name);
        }
    }
    const double coverage = static_cast<double>(covered) / KeyRange::keySpaceSize;
    const bool isTrue = std::abs(answer.coverage - coverage) < 1e-9
        && answer.missingShards == missing
        && (answer.outcome.code == ResultCode::Ok) == missing.empty();
    m_findings.wrongCoverage += isTrue ? 0 : 1;
}

void QueryFake::checkRecords(const Query &, const QueryAnswer &answer)
{
    std::set<std::string> seen;
    bool isMixed = false;
    bool isForeign = false;
    bool isCut = false;
    for (const std::string &body : answer.recordArrays) {
        isCut = isCut || body.back() != ']';
        const std::string version = "|" + std::to_string(answer.version) + "|";
        isMixed = isMixed || body.find(version) == std::string::npos;
        isForeign = isForeign || body.find("\"" + answer.requestId + "|") == std::string::npos
            || !seen.insert(body).second;
    }
    m_findings.mixedVersions += isMixed ? 1 : 0;
    m_findings.foreignRecords += isForeign ? 1 : 0;
    m_findings.cutBodies += isCut ? 1 : 0;
}

} // namespace pimentoward::tests
