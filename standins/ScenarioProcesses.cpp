#include "standins/ScenarioProcesses.h"

#include "Pimentoward/Process/Timer.h"
#include "standins/CallerLoadBalancer.h"
#include "standins/RunRecordsChecker.h"

#include <event2/event.h>

#include <csignal>
#include <stdexcept>

namespace pimentoward::standins {

namespace {

using Json = nlohmann::json;

/// Maximum time for which the verb "finish" waits for the requests of a load.
constexpr std::chrono::seconds finishTimeout {120};
constexpr std::chrono::seconds callTimeout {30};
constexpr double millisecondsPerSecond = 1000;

/// Converts a number of seconds in a script to a duration.
std::chrono::milliseconds seconds(const Json &value)
{
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(value.get<double>() * millisecondsPerSecond));
}

/// Returns the idempotency keys whose requests were run more than once by backend servers.
Json doubleRuns(const std::map<std::string, unsigned> &runsByKey)
{
    Json result = Json::array();
    for (const auto &[key, runs] : runsByKey) {
        if (runs > 1) {
            result.push_back(key);
        }
    }
    return result;
}

/// Returns, as text, the number of requests without a complete answer, by the second of the load in
/// which they were due.
std::string incompleteBySecond(const std::vector<LoadSample> &samples)
{
    std::map<std::int64_t, unsigned> counts;
    for (const LoadSample &sample : samples) {
        if (!sample.outcome.isComplete()) {
            ++counts[std::chrono::duration_cast<std::chrono::seconds>(sample.intended).count()];
        }
    }
    std::string text;
    for (const auto &[second, count] : counts) {
        text
            += (text.empty() ? "" : ", ") + std::to_string(second) + " s: " + std::to_string(count);
    }
    return text;
}

} // namespace

struct ScenarioProcesses::State
{
    event_base *loop = nullptr;
    Settings settings;
    std::unique_ptr<DeploymentProcesses> deployment;
    std::vector<PlannedRequest> plan;
    std::unique_ptr<CallerLoadBalancer> loadBalancer;
    std::vector<LoadSample> samples;
    std::size_t nextSend = 0;
    std::size_t endedRequests = 0;
    SteadyTime loadStart {};
    std::unique_ptr<Timer> sender;

    DeploymentProcesses &activeDeployment()
    {
        if (deployment == nullptr) {
            throw std::runtime_error("no deployment is running: call start{...} first");
        }
        return *deployment;
    }

    Duration sinceLoadStart() const { return std::chrono::steady_clock::now() - loadStart; }

    void sendDueRequests()
    {
        while (nextSend < plan.size() && plan[nextSend].at <= sinceLoadStart()) {
            const std::size_t index = nextSend++;
            LoadSample &sample = samples[index];
            sample.intended = plan[index].at;
            sample.sent = sinceLoadStart();
            loadBalancer->send(plan[index], [this, index](const LoadOutcome &outcome) {
                samples[index].ended = sinceLoadStart();
                samples[index].outcome = outcome;
                ++endedRequests;
            });
        }
    }
};

ScenarioProcesses::ScenarioProcesses(event_base *loop, const Settings &settings)
    : m_state(std::make_unique<State>())
{
    m_state->loop = loop;
    m_state->settings = settings;
}

ScenarioProcesses::~ScenarioProcesses() = default;

void ScenarioProcesses::addVerbs(ScenarioLanguage &language)
{
    addProcessVerbs(language);
    addRequestVerbs(language);
    addEnvironmentVerbs(language);
}

void ScenarioProcesses::addProcessVerbs(ScenarioLanguage &language)
{
    language.add("start", [this](const Json &arguments) {
        DeploymentProcesses::Settings settings;
        settings.file = arguments.at(0).at("deployment").get<std::string>();
        settings.programs = m_state->settings.programs;
        settings.logFolder = m_state->settings.logFolder;
        settings.vmFlags = arguments.at(0).value("vmFlags", std::vector<std::string>());
        settings.backendFlags = arguments.at(0).value("backendFlags", std::vector<std::string>());
        m_state->deployment = std::make_unique<DeploymentProcesses>(settings);
        m_state->deployment->start(m_state->loop);
        return Json();
    });
    const auto signalVerb = [&](const std::string &name, int number) {
        language.add(name, [this, number](const Json &arguments) {
            m_state->activeDeployment().processes().signal(arguments.at(0).get<std::string>(),
                                                           number);
            return Json();
        });
    };
    signalVerb("freeze", SIGSTOP);
    signalVerb("resume", SIGCONT);
    language.add("kill", [this](const Json &arguments) {
        const auto name = arguments.at(0).get<std::string>();
        m_state->activeDeployment().processes().signal(name, SIGKILL);
        return Json(m_state->activeDeployment().processes().wait(name, callTimeout));
    });
    // Stops a process with SIGTERM and returns its wait status, which scripts expect to be 0.
    language.add("drain", [this](const Json &arguments) {
        const auto name = arguments.at(0).get<std::string>();
        ProcessGroup &processes = m_state->activeDeployment().processes();
        processes.signal(name, SIGTERM);
        const SteadyTime limit = std::chrono::steady_clock::now() + std::chrono::minutes(1);
        while (processes.isRunning(name) && std::chrono::steady_clock::now() < limit) {
            wait(std::chrono::milliseconds(20));
        }
        return Json(processes.wait(name, callTimeout));
    });
    language.add("restart", [this](const Json &arguments) {
        m_state->activeDeployment().startVm(vm(arguments.at(0).get<std::string>()));
        return Json();
    });
    language.add("wait", [this](const Json &arguments) {
        wait(seconds(arguments.at(0)));
        return Json();
    });
    language.add("ready", [this](const Json &) {
        m_state->activeDeployment().waitUntilReady(m_state->loop);
        return Json();
    });
    language.add("expect", [](const Json &arguments) {
        if (!arguments.at(0).is_boolean() || !arguments.at(0).get<bool>()) {
            throw std::runtime_error("expectation failed: "
                                     + (arguments.size() > 1 ? arguments.at(1).dump() : ""));
        }
        return Json();
    });
}

void ScenarioProcesses::addRequestVerbs(ScenarioLanguage &language)
{
    language.add("query", [this](const Json &arguments) {
        const auto address
            = DeploymentProcesses::callerAddress(vm(arguments.at(0).get<std::string>()));
        return post(address, "/query", arguments.at(1));
    });
    language.add("order", [this](const Json &arguments) {
        const auto address
            = DeploymentProcesses::callerAddress(vm(arguments.at(0).get<std::string>()));
        Json body = arguments.at(1);
        const auto expiry = std::chrono::system_clock::now() + std::chrono::hours(1);
        body.emplace(
            "expiresAtMs",
            std::chrono::duration_cast<std::chrono::milliseconds>(expiry.time_since_epoch())
                .count());
        body.emplace("content", Json {{"lot", 1}});
        return post(address, "/order", body);
    });
    language.add("load", [this](const Json &arguments) {
        startLoad(arguments.at(0));
        return Json();
    });
    language.add("finish", [this](const Json &) { return finishLoad(); });
    language.add("records", [this](const Json &) { return runRecords(); });
}

void ScenarioProcesses::addEnvironmentVerbs(ScenarioLanguage &language)
{
    // Changes the mode of the store: "up", "down", "silent" or "lose-answers". The second argument
    // is the delay of each answer in seconds.
    language.add("store", [this](const Json &arguments) {
        const auto delay = arguments.size() > 1 ? seconds(arguments.at(1)).count() : 0;
        m_state->activeDeployment().controlPlatform(
            m_state->loop, {{"mode", arguments.at(0).get<std::string>()}, {"delayMs", delay}});
        return Json();
    });
    language.add("platform", [this](const Json &arguments) {
        m_state->activeDeployment().controlPlatform(m_state->loop, arguments.at(0));
        return Json();
    });
    // Sends a command to the control endpoint of a backend server.
    language.add("backend", [this](const Json &arguments) {
        const auto id = arguments.at(0).get<std::string>();
        for (const ServiceCatalog &catalog : m_state->activeDeployment().catalogs()) {
            if (const auto found = catalog.backendServers.find(id);
                found != catalog.backendServers.end()) {
                return post(found->second.address, "/control", arguments.at(1));
            }
        }
        throw std::runtime_error("unknown backend server '" + id + "'");
    });
    // Changes the operators' settings at one VM.
    language.add("set", [this](const Json &arguments) {
        const auto address
            = DeploymentProcesses::operatorAddress(vm(arguments.at(0).get<std::string>()));
        return post(address, "/settings", arguments.at(1));
    });
    language.add("state", [this](const Json &arguments) {
        const auto address
            = DeploymentProcesses::operatorAddress(vm(arguments.at(0).get<std::string>()));
        const HttpAnswer answer = DeploymentProcesses::call(m_state->loop, address,
                                                            {"GET", "/state", {}, {}, callTimeout});
        return Json::parse(answer.body);
    });
}

void ScenarioProcesses::wait(Duration time)
{
    bool isOver = false;
    Timer timer(m_state->loop, [&isOver] { isOver = true; });
    timer.startOnce(time);
    while (!isOver) {
        event_base_loop(m_state->loop, EVLOOP_ONCE);
    }
}

void ScenarioProcesses::startLoad(const Json &options)
{
    std::vector<LoadPlan::Settings> loads;
    for (const ServiceSpec &serviceSpec : m_state->activeDeployment().deployment().services) {
        LoadPlan::Settings load;
        load.service = serviceSpec.name;
        load.recordKind = serviceSpec.recordKind;
        load.records = serviceSpec.records;
        load.rate = options.at("rate").get<double>();
        load.length = seconds(options.at("seconds"));
        load.searchShare = options.value("searchShare", 1.0);
        load.eveningShare = options.value("eveningShare", 0.0);
        load.deadline = seconds(options.value("deadline", Json(1.0)));
        load.seed = m_state->settings.seed;
        loads.push_back(load);
    }
    CallerLoadBalancer::Settings balancerSettings;
    balancerSettings.probePeriod = std::chrono::milliseconds(200);
    m_state->plan = LoadPlan::make(loads);
    m_state->samples.assign(m_state->plan.size(), {});
    m_state->nextSend = 0;
    m_state->endedRequests = 0;
    m_state->loadBalancer = std::make_unique<CallerLoadBalancer>(
        m_state->loop, m_state->activeDeployment().callerAddresses(), balancerSettings);
    m_state->loadStart = std::chrono::steady_clock::now();
    m_state->sender = std::make_unique<Timer>(
        m_state->loop, [state = m_state.get()] { state->sendDueRequests(); });
    m_state->sender->startRepeating(std::chrono::milliseconds(1));
}

ScenarioProcesses::Json ScenarioProcesses::finishLoad()
{
    const SteadyTime limit = std::chrono::steady_clock::now() + finishTimeout;
    while (m_state->endedRequests < m_state->plan.size()
           && std::chrono::steady_clock::now() < limit) {
        wait(std::chrono::milliseconds(20));
    }
    m_state->sender.reset();
    const CallerReport report(m_state->samples);
    Json result = report.toJson();
    result["errors"] = report.errors();
    result["notWholeAt"] = incompleteBySecond(m_state->samples);
    result["verdict"] = runRecords();
    return result;
}

ScenarioProcesses::Json ScenarioProcesses::runRecords()
{
    RunRecordsChecker checker;
    std::map<std::string, unsigned> runsByKey;
    std::map<FailureDomain, std::size_t> runsByDomain;
    for (const ServiceCatalog &catalog : m_state->activeDeployment().catalogs()) {
        for (const auto &[id, server] : catalog.backendServers) {
            const HttpAnswer answer = DeploymentProcesses::call(
                m_state->loop, server.address, {"GET", "/records", {}, {}, callTimeout});
            checker.addBackend(answer.body);
            const Json dump = Json::parse(answer.body);
            runsByDomain[server.failureDomain] += dump.at("runs").size();
            for (const Json &run : dump.at("runs")) {
                if (const std::string key = run.value("idempotencyKey", ""); !key.empty()) {
                    ++runsByKey[key];
                }
            }
        }
    }
    const std::size_t shards = m_state->activeDeployment().deployment().services.front().shards;
    Json result = RunRecordsChecker::toJson(checker.check(m_state->samples, shards));
    result["doubleRuns"] = doubleRuns(runsByKey);
    result["runsByKey"] = runsByKey;
    result["runsByDomain"] = runsByDomain;
    return result;
}

ScenarioProcesses::Json ScenarioProcesses::post(const Address &address, const std::string &path,
                                                const Json &body)
{
    const HttpAnswer answer = DeploymentProcesses::call(
        m_state->loop, address, {"POST", path, {}, body.dump(), callTimeout});
    constexpr bool throwOnError = false;
    Json result = Json::parse(answer.body, nullptr, throwOnError);
    if (!result.is_object()) {
        result = Json {{"text", answer.body}};
    }
    result["httpStatus"] = answer.status;
    return result;
}

const VmRecord &ScenarioProcesses::vm(const std::string &name) const
{
    for (const VmRecord &record : m_state->activeDeployment().deployment().vms) {
        if (record.id == name) {
            return record;
        }
    }
    throw std::runtime_error("unknown VM '" + name + "'");
}

} // namespace pimentoward::standins
