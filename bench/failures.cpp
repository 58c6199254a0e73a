/// Injects faults into real processes under load. Prints one JSON line per scenario. The verdicts
/// are computed from what the stand-in callers and backend servers recorded, not from what the tier
/// reports about itself.

#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Process/PreciseLoop.h"
#include "Pimentoward/Process/SettingsReader.h"
#include "standins/CallerLoadBalancer.h"
#include "standins/DeploymentProcesses.h"
#include "standins/RunRecordsChecker.h"

#include <event2/event.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <iostream>

using namespace pimentoward;

namespace {

using Json = nlohmann::json;
using Samples = std::vector<standins::LoadSample>;
using Steps = std::vector<standins::LoadRunner::Step>;

/// Time from the start of the load to the fault, in each scenario.
constexpr std::chrono::seconds faultStart {4};
/// Time between health probes of a VM.
constexpr std::chrono::milliseconds probePeriod {200};
/// Time from the stop signal of a VM to its restart, in the rolling restart.
constexpr std::chrono::seconds restartDelay {3};

std::vector<SettingSpec> settingsTable()
{
    using Kind = SettingKind;
    return {
        {"deployment", Kind::Text, "deployments/path-20.json", "Deployment file.", 0, 0, "", false},
        {"programs", Kind::Text, "build", "Folder that holds the built programs.", 0, 0, "", false},
        {"scenario", Kind::Choice, "all", "Scenario to run.", 0, 0,
         "all,kill,freeze,store-silent,store-down,rolling,cut,cut-one-way", false},
        {"peer-delay-ms", Kind::Integer, "3", "One-way delay between VMs, in ms.", 0, 1000, "",
         false},
        {"peer-jitter-ms", Kind::Integer, "1", "Maximum random delay added to it, in ms.", 0, 1000,
         "", false},
        {"peer-loss-percent", Kind::Real, "0", "Packet loss between VMs.", 0, 100, "", false},
        {"rate", Kind::Real, "40", "Searches per second.", 1, 10'000, "", false},
        {"deadline-ms", Kind::Milliseconds, "500", "Deadline of each search.", 1, 60'000, "",
         false},
    };
}

/// One scenario: the duration of its load, and the faults that are injected during it.
struct Scenario
{
    std::string name;
    Duration length {};
    std::function<Steps(event_base *, standins::DeploymentProcesses &)> steps;
};

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Kills the last VM.
Steps killSteps(event_base *, standins::DeploymentProcesses &deployment)
{
    const std::string vm = deployment.deployment().vms.back().id;
    return {{faultStart, [&deployment, vm] { deployment.processes().signal(vm, SIGKILL); }}};
}

/// Suspends the process of the last VM for 5 s.
Steps freezeSteps(event_base *, standins::DeploymentProcesses &deployment)
{
    constexpr std::chrono::seconds freezeTime {5};
    const std::string vm = deployment.deployment().vms.back().id;
    return {{faultStart, [&deployment, vm] { deployment.processes().signal(vm, SIGSTOP); }},
            {faultStart + freezeTime,
             [&deployment, vm] { deployment.processes().signal(vm, SIGCONT); }}};
}

/// Switches the mode of the platform's store. Does not wait for the answer, because the event loop
/// is also running the load.
void sendStoreMode(HttpConnection &connection, const std::string &mode)
{
    const Json body {{"mode", mode}};
    connection.send({"POST", "/control", {}, body.dump(), std::chrono::seconds(5)},
                    [](const std::optional<HttpAnswer> &, const Reason &) {});
}

/// Switches the store to a mode for 10 s.
std::function<Steps(event_base *, standins::DeploymentProcesses &)>
storeSteps(const std::string &mode)
{
    constexpr std::chrono::seconds outage {10};
    return [=](event_base *loop, standins::DeploymentProcesses &deployment) -> Steps {
        const auto connection = std::make_shared<HttpConnection>(loop, deployment.platform());
        return {{faultStart, [=] { sendStoreMode(*connection, mode); }},
                {faultStart + outage, [=] { sendStoreMode(*connection, "up"); }}};
    };
}

/// Cuts the connections that other VMs open to the last VM, for 5 s. `action` is the relay command,
/// and says whether both directions are cut or one.
std::function<Steps(event_base *, standins::DeploymentProcesses &)>
cutSteps(const std::string &action)
{
    constexpr std::chrono::seconds cutTime {5};
    return [=](event_base *loop, standins::DeploymentProcesses &deployment) -> Steps {
        const std::string vm = deployment.deployment().vms.back().id;
        Steps steps;
        for (const char *link : {"-data", "-control"}) {
            const std::string pair = vm + link;
            const auto connection
                = std::make_shared<HttpConnection>(loop, deployment.relayControlAddress());
            const auto sendAction = [connection, pair](const std::string &name) {
                const Json body {{"action", name}, {"pair", pair}};
                connection->send({"POST", "/control", {}, body.dump(), std::chrono::seconds(5)},
                                 [](const std::optional<HttpAnswer> &, const Reason &) {});
            };
            steps.push_back({faultStart, [=] { sendAction(action); }});
            steps.push_back({faultStart + cutTime, [=] { sendAction("heal"); }});
        }
        return steps;
    };
}

/// Sends SIGTERM to one VM after the other, and restarts each 3 s later if it has ended by then.
Steps rollingSteps(event_base *, standins::DeploymentProcesses &deployment)
{
    constexpr std::chrono::milliseconds pollPeriod {50};
    Steps steps;
    Duration at = faultStart;
    for (const VmRecord &vm : deployment.deployment().vms) {
        steps.push_back({at, [&deployment, vm] { deployment.processes().signal(vm.id, SIGTERM); }});
        steps.push_back({at + restartDelay, [&deployment, vm, pollPeriod] {
                             deployment.processes().wait(vm.id, pollPeriod);
                             if (!deployment.processes().isRunning(vm.id)) {
                                 deployment.startVm(vm);
                             }
                         }});
        at += 2 * restartDelay;
    }
    return steps;
}

std::vector<Scenario> scenarios()
{
    constexpr std::chrono::seconds shortRun {16};
    constexpr std::chrono::seconds longRun {20};
    constexpr std::chrono::seconds rollingRun {24};
    return {{"kill", shortRun, killSteps},
            {"freeze", shortRun, freezeSteps},
            {"store-silent", longRun, storeSteps("silent")},
            {"store-down", longRun, storeSteps("down")},
            {"rolling", rollingRun, rollingSteps},
            {"cut", shortRun, cutSteps("cut")},
            {"cut-one-way", shortRun, cutSteps("cut-to-target")}};
}

/// Seconds from the fault to the intended send time of the first search after the last incomplete
/// answer. 0 if all answers were complete; null if one of the last five answers was incomplete.
Json recoverySeconds(const Samples &samples)
{
    constexpr std::size_t minCompleteAtEnd = 5;
    std::size_t lastIncomplete = 0;
    bool anyIncomplete = false;
    for (std::size_t index = 0; index < samples.size(); ++index) {
        if (!samples[index].outcome.isComplete()) {
            lastIncomplete = index;
            anyIncomplete = true;
        }
    }
    if (!anyIncomplete) {
        return 0;
    }
    if (lastIncomplete + minCompleteAtEnd >= samples.size()) {
        return nullptr;
    }
    return seconds(samples[lastIncomplete + 1].intended - faultStart);
}

/// The samples whose intended send time is in the interval [from, to).
Samples samplesBetween(const Samples &samples, Duration from, Duration to)
{
    Samples result;
    std::copy_if(
        samples.begin(), samples.end(), std::back_inserter(result),
        [=](const auto &sample) { return sample.intended >= from && sample.intended < to; });
    return result;
}

std::vector<standins::PlannedRequest> makePlan(const standins::ServiceSpec &serviceSpec,
                                               const ResolvedSettings &settings, Duration length)
{
    standins::LoadPlan::Settings load;
    load.service = serviceSpec.name;
    load.recordKind = serviceSpec.recordKind;
    load.records = serviceSpec.records;
    load.rate = settings.real("rate");
    load.length = length;
    load.searchShare = 1;
    load.deadline = settings.milliseconds("deadline-ms");
    load.seed = serviceSpec.seed;
    return standins::LoadPlan::make({load});
}

/// Compares the samples with the records of all backend servers.
standins::RunRecordsChecker::Verdict readVerdict(event_base *loop,
                                                 const standins::DeploymentProcesses &deployment,
                                                 const Samples &samples)
{
    standins::RunRecordsChecker checker;
    for (const ServiceCatalog &service : deployment.catalogs()) {
        for (const auto &[id, server] : service.backendServers) {
            checker.addBackend(
                standins::DeploymentProcesses::call(
                    loop, server.address, {"GET", "/records", {}, {}, std::chrono::seconds(10)})
                    .body);
        }
    }
    return checker.check(samples, deployment.deployment().services.front().shards);
}

/// Names of the VMs whose process is running. This shows whether a fault took effect, and whether a
/// stopped VM was restarted.
Json runningVms(const standins::DeploymentProcesses &deployment)
{
    Json names = Json::array();
    for (const VmRecord &vm : deployment.deployment().vms) {
        if (deployment.processes().isRunning(vm.id)) {
            names.push_back(vm.id);
        }
    }
    return names;
}

void runScenario(const Scenario &scenario, const ResolvedSettings &settings)
{
    event_base *loop = newPreciseLoop();
    standins::DeploymentProcesses::Settings processes;
    processes.file = settings.text("deployment");
    processes.programs = settings.text("programs");
    processes.logFolder = "out/failures/" + scenario.name;
    processes.relayFlags = {"--delay-ms",     settings.text("peer-delay-ms"),
                            "--jitter-ms",    settings.text("peer-jitter-ms"),
                            "--loss-percent", settings.text("peer-loss-percent")};
    {
        standins::DeploymentProcesses deployment(processes);
        deployment.start(loop);
        standins::CallerLoadBalancer::Settings balancerSettings;
        balancerSettings.probePeriod = probePeriod;
        standins::CallerLoadBalancer loadBalancer(loop, deployment.callerAddresses(),
                                                  balancerSettings);
        const auto plan
            = makePlan(deployment.deployment().services.front(), settings, scenario.length);
        const Samples samples = standins::LoadRunner::run(
            loop, plan,
            [&loadBalancer](const auto &request, auto done) {
                loadBalancer.send(request, std::move(done));
            },
            scenario.steps(loop, deployment));
        const auto verdict = readVerdict(loop, deployment, samples);
        const Json line {
            {"scenario", scenario.name},
            {"vmsRunningAtEnd", runningVms(deployment)},
            {"wholeAgainSeconds", recoverySeconds(samples)},
            {"before", standins::CallerReport(samplesBetween(samples, {}, faultStart)).toJson()},
            {"after",
             standins::CallerReport(samplesBetween(samples, faultStart, scenario.length)).toJson()},
            {"verdict", standins::RunRecordsChecker::toJson(verdict)}};
        std::cout << line.dump() << std::endl;
    }
    event_base_free(loop);
}

} // namespace

int main(int argc, char **argv)
{
    ExitCode exitCode {};
    const SettingsReader reader("bench-failures", "Injects faults into real processes",
                                settingsTable());
    const auto settings = reader.readOrExit(argc, argv, exitCode);
    if (!settings) {
        return static_cast<int>(exitCode);
    }
    Log::start("ERROR");
    const std::string &selected = settings->text("scenario");
    try {
        for (const Scenario &scenario : scenarios()) {
            if (selected == "all" || selected == scenario.name) {
                runScenario(scenario, *settings);
            }
        }
    } catch (const std::exception &error) {
        std::cerr << "bench-failures: " << error.what() << '\n';
        return static_cast<int>(ExitCode::Failure);
    }
    return static_cast<int>(ExitCode::Success);
}
