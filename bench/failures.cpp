/// Faults against real processes under load. Prints one JSON line a scenario; the verdicts come
/// from the stand-ins' own records.

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

/// When the fault of each scenario begins, after the start of the load.
constexpr std::chrono::seconds faultAt {4};
constexpr std::chrono::milliseconds probePeriod {200};
/// Time after its stop at which a replaced VM is started again.
constexpr std::chrono::seconds replaceGap {3};

std::vector<SettingSpec> settingsTable()
{
    using Kind = SettingKind;
    return {
        {"deployment", Kind::Text, "deployments/path-20.json", "Deployment file.", 0, 0, "", false},
        {"programs", Kind::Text, "build", "Folder of the built programs.", 0, 0, "", false},
        {"scenario", Kind::Choice, "all", "Scenario to run.", 0, 0,
         "all,kill,freeze,store-silent,store-down,rolling,cut,cut-one-way", false},
        {"peer-delay-ms", Kind::Integer, "3", "One-way delay between VMs.", 0, 1000, "", false},
        {"peer-jitter-ms", Kind::Integer, "1", "Jitter between VMs.", 0, 1000, "", false},
        {"peer-loss-percent", Kind::Real, "0", "Loss between VMs.", 0, 100, "", false},
        {"rate", Kind::Real, "40", "Searches a second.", 1, 10'000, "", false},
        {"deadline-ms", Kind::Milliseconds, "500", "Deadline of each search.", 1, 60'000, "",
         false},
    };
}

/// One scenario: its length and what is done to the processes meanwhile.
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

Steps killSteps(event_base *, standins::DeploymentProcesses &deployment)
{
    const std::string vm = deployment.deployment().vms.back().id;
    return {{faultAt, [&deployment, vm] { deployment.processes().signal(vm, SIGKILL); }}};
}

Steps freezeSteps(event_base *, standins::DeploymentProcesses &deployment)
{
    constexpr std::chrono::seconds frozenFor {5};
    const std::string vm = deployment.deployment().vms.back().id;
    return {
        {faultAt, [&deployment, vm] { deployment.processes().signal(vm, SIGSTOP); }},
        {faultAt + frozenFor, [&deployment, vm] { deployment.processes().signal(vm, SIGCONT); }}};
}

/// Sends an order to the platform without waiting, as the loop is busy with the load.
void orderLater(HttpConnection &connection, const std::string &mode)
{
    const Json order {{"mode", mode}};
    connection.send({"POST", "/control", {}, order.dump(), std::chrono::seconds(5)},
                    [](const std::optional<HttpAnswer> &, const Reason &) {});
}

std::function<Steps(event_base *, standins::DeploymentProcesses &)>
storeSteps(const std::string &mode)
{
    constexpr std::chrono::seconds outage {10};
    return [=](event_base *loop, standins::DeploymentProcesses &deployment) -> Steps {
        const auto connection = std::make_shared<HttpConnection>(loop, deployment.platform());
        return {{faultAt, [=] { orderLater(*connection, mode); }},
                {faultAt + outage, [=] { orderLater(*connection, "up"); }}};
    };
}

/// Cuts the links that others have to the last VM, for 5 s.
std::function<Steps(event_base *, standins::DeploymentProcesses &)>
cutSteps(const std::string &action)
{
    constexpr std::chrono::seconds cutFor {5};
    return [=](event_base *loop, standins::DeploymentProcesses &deployment) -> Steps {
        const std::string vm = deployment.deployment().vms.back().id;
        Steps steps;
        for (const char *link : {"-data", "-control"}) {
            const std::string pair = vm + link;
            const auto connection
                = std::make_shared<HttpConnection>(loop, deployment.relayControlAddress());
            const auto order = [connection, pair](const std::string &what) {
                const Json body {{"action", what}, {"pair", pair}};
                connection->send({"POST", "/control", {}, body.dump(), std::chrono::seconds(5)},
                                 [](const std::optional<HttpAnswer> &, const Reason &) {});
            };
            steps.push_back({faultAt, [=] { order(action); }});
            steps.push_back({faultAt + cutFor, [=] { order("heal"); }});
        }
        return steps;
    };
}

Steps rollingSteps(event_base *, standins::DeploymentProcesses &deployment)
{
    constexpr std::chrono::milliseconds pollPeriod {50};
    Steps steps;
    Duration at = faultAt;
    for (const VmRecord &vm : deployment.deployment().vms) {
        steps.push_back({at, [&deployment, vm] { deployment.processes().signal(vm.id, SIGTERM); }});
        steps.push_back({at + replaceGap, [&deployment, vm, pollPeriod] {
                             deployment.processes().wait(vm.id, pollPeriod);
                             if (!deployment.processes().isRunning(vm.id)) {
                                 deployment.startVm(vm);
                             }
                         }});
        at += 2 * replaceGap;
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

/// Seconds from the fault to the intended time of the first search after the last one that was not
/// answered whole; 0 where all were whole, nothing where answers were not whole to the end.
Json wholeAgainSeconds(const Samples &samples)
{
    constexpr std::size_t atEnd = 5;
    std::size_t lastBroken = 0;
    bool anyBroken = false;
    for (std::size_t index = 0; index < samples.size(); ++index) {
        if (!samples[index].outcome.isWhole()) {
            lastBroken = index;
            anyBroken = true;
        }
    }
    if (!anyBroken) {
        return 0;
    }
    if (lastBroken + atEnd >= samples.size()) {
        return nullptr;
    }
    return seconds(samples[lastBroken + 1].intended - faultAt);
}

Samples phase(const Samples &samples, Duration from, Duration to)
{
    Samples result;
    std::copy_if(
        samples.begin(), samples.end(), std::back_inserter(result),
        [=](const auto &sample) { return sample.intended >= from && sample.intended < to; });
    return result;
}

std::vector<standins::PlannedRequest> makePlan(const standins::ServiceShape &shape,
                                               const ResolvedSettings &settings, Duration length)
{
    standins::LoadPlan::Settings load;
    load.service = shape.name;
    load.recordKind = shape.recordKind;
    load.records = shape.records;
    load.rate = settings.real("rate");
    load.length = length;
    load.searchShare = 1;
    load.deadline = settings.milliseconds("deadline-ms");
    load.seed = shape.seed;
    return standins::LoadPlan::make({load});
}

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

/// Names of the VMs whose process runs: evidence that a fault hit, or that it was mended.
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
        standins::CallerLoadBalancer::Settings callers;
        callers.probePeriod = probePeriod;
        standins::CallerLoadBalancer targets(loop, deployment.callerAddresses(), callers);
        const auto plan
            = makePlan(deployment.deployment().services.front(), settings, scenario.length);
        const Samples samples = standins::LoadRunner::run(
            loop, plan,
            [&targets](const auto &request, auto done) { targets.send(request, std::move(done)); },
            scenario.steps(loop, deployment));
        const auto verdict = readVerdict(loop, deployment, samples);
        const Json line {
            {"scenario", scenario.name},
            {"vmsRunningAtEnd", runningVms(deployment)},
            {"wholeAgainSeconds", wholeAgainSeconds(samples)},
            {"before", standins::CallerReport(phase(samples, {}, faultAt)).toJson()},
            {"after", standins::CallerReport(phase(samples, faultAt, scenario.length)).toJson()},
            {"verdict", standins::RunRecordsChecker::toJson(verdict)}};
        std::cout << line.dump() << std::endl;
    }
    event_base_free(loop);
}

} // namespace

int main(int argc, char **argv)
{
    ExitCode exitCode {};
    const SettingsReader reader("bench-failures", "Faults against real processes", settingsTable());
    const auto settings = reader.readOrExit(argc, argv, exitCode);
    if (!settings) {
        return static_cast<int>(exitCode);
    }
    Log::start("ERROR");
    const std::string &wanted = settings->text("scenario");
    try {
        for (const Scenario &scenario : scenarios()) {
            if (wanted == "all" || wanted == scenario.name) {
                runScenario(scenario, *settings);
            }
        }
    } catch (const std::exception &error) {
        std::cerr << "bench-failures: " << error.what() << '\n';
        return static_cast<int>(ExitCode::Failure);
    }
    return static_cast<int>(ExitCode::Success);
}
