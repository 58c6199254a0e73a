/// Compares hedging with no hedging, in alternating rounds against the same stand-ins. Either 1 %
/// of all subrequests or all subrequests of one failure domain take 20 times as long. The policies
/// differ in one of the operators' settings, which is changed in the store between rounds.

#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Process/OperatorSettings.h"
#include "Pimentoward/Process/PreciseLoop.h"
#include "Pimentoward/Process/SettingsDocument.h"
#include "Pimentoward/Process/SettingsReader.h"
#include "standins/CallerLoadBalancer.h"
#include "standins/DeploymentProcesses.h"
#include "standins/PolicyComparison.h"

#include <event2/event.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <thread>

using namespace pimentoward;

namespace {

using Json = nlohmann::json;
using Comparison = standins::PolicyComparison;

std::vector<SettingSpec> settingsTable()
{
    using Kind = SettingKind;
    return {
        {"deployment", Kind::Text, "deployments/mulgyeol.json", "Deployment file.", 0, 0, "",
         false},
        {"programs", Kind::Text, "build", "Folder that holds the built programs.", 0, 0, "", false},
        {"stragglers", Kind::Choice, "share",
         "Which subrequests are slow: 1 % of all, or those to one failure domain.", 0, 0,
         "share,failure-domain", false},
        {"hedge-budget-percent", Kind::Real, "5", "Hedge budget of policy A; policy B has 0.", 0,
         100, "", false},
        {"rate", Kind::Real, "20", "Searches per second.", 1, 10'000, "", false},
        {"round-seconds", Kind::Integer, "4", "Duration of one round, in seconds.", 1, 600, "",
         false},
        {"rounds", Kind::Integer, "5", "Measured rounds of each policy, without warm-up rounds.", 1,
         100, "", false},
        {"output", Kind::Text, "out/stragglers", "Prefix of the result files.", 0, 0, "", false},
    };
}

standins::DeploymentProcesses::Settings processSettings(const ResolvedSettings &settings)
{
    standins::DeploymentProcesses::Settings result;
    result.file = settings.text("deployment");
    result.programs = settings.text("programs");
    if (settings.text("stragglers") == "share") {
        result.backendFlags = {"--straggler-percent", "1", "--straggler-factor", "20"};
    }
    return result;
}

/// Writes a settings document with this hedge budget to the store and waits until the state of
/// every VM shows its revision. Returns false if that takes longer than 10 s.
bool putHedgeBudget(event_base *loop, const standins::DeploymentProcesses &deployment,
                    Revision revision, const std::string &percent)
{
    using standins::DeploymentProcesses;
    constexpr std::chrono::seconds limit {10};
    constexpr std::chrono::milliseconds pollPeriod {50};
    constexpr int statusOk = 200;
    SettingsDocument document;
    document.revision = revision;
    document.changeId = "bench-" + std::to_string(revision);
    document.defaults[operator_settings::hedgeBudget] = percent;
    const HttpAnswer stored = DeploymentProcesses::call(loop, deployment.platform(),
                                                        {"GET", "/kv?key=settings", {}, {}, limit});
    const std::string expected = stored.status == statusOk ? stored.header("x-revision") : "0";
    const HttpAnswer written = DeploymentProcesses::call(
        loop, deployment.platform(),
        {"PUT", "/kv?key=settings&expected=" + expected, {}, document.toJson(), limit});
    if (written.status != statusOk) {
        throw std::runtime_error("the store refused the settings: " + written.body);
    }
    const auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
        bool inForce = true;
        for (const VmRecord &vm : deployment.deployment().vms) {
            const HttpAnswer state = DeploymentProcesses::call(
                loop, DeploymentProcesses::operatorAddress(vm), {"GET", "/state", {}, {}, limit});
            constexpr bool throwOnError = false;
            const Json json = Json::parse(state.body, nullptr, throwOnError);
            inForce = inForce && json.is_object()
                && json.value("settingsRevision", Revision {0}) >= revision;
        }
        if (inForce) {
            return true;
        }
        std::this_thread::sleep_for(pollPeriod);
    }
    return false;
}

std::vector<standins::PlannedRequest> makePlan(const standins::Deployment &deployment,
                                               const ResolvedSettings &settings)
{
    std::vector<standins::LoadPlan::Settings> loads;
    for (const standins::ServiceSpec &serviceSpec : deployment.services) {
        standins::LoadPlan::Settings load;
        load.service = serviceSpec.name;
        load.recordKind = serviceSpec.recordKind;
        load.records = serviceSpec.records;
        load.rate = settings.real("rate") / static_cast<double>(deployment.services.size());
        load.length = std::chrono::seconds(settings.integer("round-seconds"));
        load.searchShare = 1;
        load.seed = serviceSpec.seed;
        loads.push_back(load);
    }
    return standins::LoadPlan::make(loads);
}

/// Number of runs that all backend servers together have recorded so far.
std::uint64_t recordedRuns(event_base *loop, const standins::DeploymentProcesses &deployment)
{
    std::uint64_t runs = 0;
    for (const ServiceCatalog &service : deployment.catalogs()) {
        for (const auto &[id, server] : service.backendServers) {
            const HttpAnswer records = standins::DeploymentProcesses::call(
                loop, server.address, {"GET", "/records", {}, {}, std::chrono::seconds(10)});
            runs += Json::parse(records.body).at("runs").size();
        }
    }
    return runs;
}

/// Runs all rounds of both policies. Returns the results as JSON.
Json measure(event_base *loop, standins::DeploymentProcesses &deployment,
             const ResolvedSettings &settings)
{
    constexpr double p50 = 0.5;
    constexpr double p99 = 0.99;
    standins::CallerLoadBalancer loadBalancer(loop, deployment.callerAddresses(), {});
    const auto send
        = [&](const auto &request, auto done) { loadBalancer.send(request, std::move(done)); };
    Revision revision = 0;
    bool alwaysInForce = true;
    std::uint64_t runs[2] = {0, 0};
    std::uint64_t runsBefore = 0;
    std::size_t currentPolicy = 0;
    const auto prepare = [&](std::size_t policy, const std::string &percent) {
        const std::uint64_t now = recordedRuns(loop, deployment);
        runs[currentPolicy] += now - runsBefore;
        runsBefore = now;
        currentPolicy = policy;
        // If a change does not come into force in time, later changes are not sent, so that no time
        // is spent on waiting for them.
        alwaysInForce = alwaysInForce && putHedgeBudget(loop, deployment, ++revision, percent);
    };
    Comparison::Policy hedging;
    hedging.name = "hedging";
    hedging.send = send;
    hedging.cpuTime = [&] { return deployment.vmCpuTime(); };
    hedging.prepare = [&] { prepare(0, settings.text("hedge-budget-percent")); };
    Comparison::Policy noHedging = hedging;
    noHedging.name = "none";
    noHedging.prepare = [&] { prepare(1, "0"); };
    const auto result
        = Comparison::run(loop, makePlan(deployment.deployment(), settings), hedging, noHedging,
                          static_cast<std::size_t>(settings.integer("rounds")));
    runs[currentPolicy] += recordedRuns(loop, deployment) - runsBefore;
    std::cout << result.table();
    std::ofstream(settings.text("output") + ".data") << result.plotData();
    const auto quantile = [](double share) {
        return [share](const Comparison::Round &round) {
            return Comparison::quantileMs(round, share);
        };
    };
    Json json = result.toJson();
    json["p99Ratio"] = result.ratio(quantile(p99)).median;
    json["p50Ratio"] = result.ratio(quantile(p50)).median;
    json["extraLoad"] = static_cast<double>(runs[0]) / static_cast<double>(runs[1]) - 1;
    // False if the VMs did not apply a change, so that both policies ran with the same settings.
    json["settingsInForce"] = alwaysInForce;
    return json;
}

} // namespace

int main(int argc, char **argv)
{
    ExitCode exitCode {};
    const SettingsReader reader("bench-stragglers", "Compares hedging with no hedging",
                                settingsTable());
    const auto settings = reader.readOrExit(argc, argv, exitCode);
    if (!settings) {
        return static_cast<int>(exitCode);
    }
    Log::start("ERROR");
    event_base *loop = newPreciseLoop();
    try {
        auto processes = processSettings(*settings);
        if (settings->text("stragglers") == "failure-domain") {
            Reason reason;
            const auto deployment = standins::Deployment::load(processes.file, reason);
            if (!deployment) {
                throw std::runtime_error(reason.text);
            }
            // Every subrequest to this failure domain is a straggler, so that each shard with a
            // replica in it has one slow replica.
            processes.domainFlags[deployment->failureDomains.back().name]
                = {"--straggler-percent", "100", "--straggler-factor", "20"};
        }
        standins::DeploymentProcesses deployment(processes);
        deployment.start(loop);
        const Json json = measure(loop, deployment, *settings);
        std::cout << json.dump() << '\n';
        std::ofstream(settings->text("output") + ".json") << json.dump(2) << '\n';
    } catch (const std::exception &error) {
        std::cerr << "bench-stragglers: " << error.what() << '\n';
        return static_cast<int>(ExitCode::Failure);
    }
    event_base_free(loop);
    return static_cast<int>(ExitCode::Success);
}
