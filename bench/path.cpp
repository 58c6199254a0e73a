/// Compares the tier with direct calls to the stand-in backend servers through libevent's evhttp:
/// added latency and processor time per subrequest. Rounds with and without the tier alternate
/// within one run. Also measures the memory of a VM per idle caller connection.

#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Process/PreciseLoop.h"
#include "Pimentoward/Process/SettingsReader.h"
#include "standins/CallerLoadBalancer.h"
#include "standins/DeploymentProcesses.h"
#include "standins/DirectFanout.h"
#include "standins/PolicyComparison.h"

#include <event2/event.h>
#include <nlohmann/json.hpp>

#include <ctime>
#include <filesystem>
#include <fstream>
#include <iostream>

using namespace pimentoward;

namespace {

using Json = nlohmann::json;

std::vector<SettingSpec> settingsTable()
{
    using Kind = SettingKind;
    return {
        {"deployment", Kind::Text, "deployments/path-20.json", "Deployment file.", 0, 0, "", false},
        {"programs", Kind::Text, "build", "Folder that holds the built programs.", 0, 0, "", false},
        {"rate", Kind::Real, "50", "Queries per second.", 1, 10'000, "", false},
        {"round-seconds", Kind::Integer, "3", "Duration of one round, in seconds.", 1, 600, "",
         false},
        {"rounds", Kind::Integer, "5", "Measured rounds of each policy, without warm-up rounds.", 1,
         100, "", false},
        {"idle-connections", Kind::Integer, "500", "Number of idle caller connections to open.", 1,
         5000, "", false},
        {"service-time-micros", Kind::Integer, "0",
         "Service time in microseconds; 0: as in the deployment file.", 0, 1'000'000, "", false},
        {"output", Kind::Text, "out/path", "Prefix of the result files.", 0, 0, "", false},
    };
}

/// Processor time that this program has used so far.
Duration processCpuTime()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

/// Returns the path of the deployment file to use: the given one, or a copy with the requested
/// service time, which is written next to the results.
std::string deploymentFile(const ResolvedSettings &settings)
{
    const auto micros = settings.integer("service-time-micros");
    if (micros == 0) {
        return settings.text("deployment");
    }
    std::ifstream input(settings.text("deployment"));
    Json json = Json::parse(input);
    for (Json &service : json["services"]) {
        service["serviceTimeMicros"] = micros;
    }
    std::string file = settings.text("output") + "-deployment.json";
    std::ofstream(file) << json.dump(2) << '\n';
    return file;
}

std::vector<standins::PlannedRequest> makePlan(const standins::ServiceSpec &serviceSpec,
                                               const ResolvedSettings &settings)
{
    standins::LoadPlan::Settings load;
    load.service = serviceSpec.name;
    load.recordKind = serviceSpec.recordKind;
    load.records = serviceSpec.records;
    load.rate = settings.real("rate");
    load.length = std::chrono::seconds(settings.integer("round-seconds"));
    load.searchShare = 1;
    load.seed = serviceSpec.seed;
    return standins::LoadPlan::make({load});
}

/// Opens idle caller connections to one VM. Returns by how many bytes each of them increases the
/// VM's resident memory.
double bytesPerIdleConnection(event_base *loop, standins::DeploymentProcesses &deployment,
                              std::int64_t connections)
{
    const VmRecord &vm = deployment.deployment().vms.front();
    const auto address = standins::DeploymentProcesses::callerAddress(vm);
    const std::uint64_t before = deployment.processes().residentBytes(vm.id);
    std::vector<std::unique_ptr<HttpConnection>> idle;
    std::int64_t open = 0;
    for (std::int64_t number = 0; number < connections; ++number) {
        idle.push_back(std::make_unique<HttpConnection>(loop, address));
        idle.back()->send({"GET", "/health/live", {}, {}, std::chrono::seconds(10)},
                          [&](const std::optional<HttpAnswer> &, const Reason &) {
                              if (++open == connections) {
                                  event_base_loopbreak(loop);
                              }
                          });
    }
    event_base_dispatch(loop);
    const std::uint64_t after = deployment.processes().residentBytes(vm.id);
    const std::uint64_t growth = after > before ? after - before : 0;
    return static_cast<double>(growth) / static_cast<double>(connections);
}

double cpuMicrosPerSubrequest(const standins::PolicyComparison::Round &round, std::size_t shards)
{
    const double micros = std::chrono::duration<double, std::micro>(round.cpuTime).count();
    return micros / static_cast<double>(round.samples.size() * shards);
}

/// Runs all rounds and the measurement of idle connections. Returns the results as JSON.
Json measure(event_base *loop, standins::DeploymentProcesses &deployment,
             const ResolvedSettings &settings)
{
    using Comparison = standins::PolicyComparison;
    constexpr double median = 0.5;
    const standins::ServiceSpec &serviceSpec = deployment.deployment().services.front();
    standins::CallerLoadBalancer tier(loop, deployment.callerAddresses(), {});
    standins::DirectFanout direct(loop, deployment.catalogs(), {});
    const Comparison::Policy tierPolicy {
        "tier", [&](const auto &request, auto done) { tier.send(request, std::move(done)); },
        [&] { return deployment.vmCpuTime(); }, [] {}};
    const Comparison::Policy directPolicy {
        "direct", [&](const auto &request, auto done) { direct.send(request, std::move(done)); },
        [] { return processCpuTime(); }, [] {}};
    const auto result
        = Comparison::run(loop, makePlan(serviceSpec, settings), tierPolicy, directPolicy,
                          static_cast<std::size_t>(settings.integer("rounds")));
    std::cout << result.table();
    std::ofstream(settings.text("output") + ".data") << result.plotData();
    const auto cpu = [&](const Comparison::Round &round) {
        return cpuMicrosPerSubrequest(round, serviceSpec.shards);
    };
    constexpr double microsPerSecond = 1e6;
    const auto medianOf
        = [](const Comparison::Round &round) { return Comparison::quantileMs(round, median); };
    Json json = result.toJson();
    json["fanOut"] = serviceSpec.shards;
    json["serviceTimeMicros"] = serviceSpec.serviceTime.count();
    json["queriesPerSecond"] = settings.real("rate");
    json["addedMedianOverDirect"] = result.ratio(medianOf).median - 1;
    json["tierCpuMicrosPerSubrequest"] = result.spread(0, cpu).median;
    json["directCpuMicrosPerSubrequest"] = result.spread(1, cpu).median;
    json["cpuRatio"] = result.ratio(cpu).median;
    json["subrequestsPerSecondPerCore"] = microsPerSecond / result.spread(0, cpu).median;
    json["bytesPerIdleConnection"]
        = bytesPerIdleConnection(loop, deployment, settings.integer("idle-connections"));
    return json;
}

} // namespace

int main(int argc, char **argv)
{
    ExitCode exitCode {};
    const SettingsReader reader("bench-path", "Compares the tier with direct calls",
                                settingsTable());
    const auto settings = reader.readOrExit(argc, argv, exitCode);
    if (!settings) {
        return static_cast<int>(exitCode);
    }
    Log::start("WARN");
    const auto folder = std::filesystem::path(settings->text("output")).parent_path();
    if (!folder.empty()) {
        std::filesystem::create_directories(folder);
    }
    event_base *loop = newPreciseLoop();
    try {
        standins::DeploymentProcesses::Settings processes;
        processes.file = deploymentFile(*settings);
        processes.programs = settings->text("programs");
        standins::DeploymentProcesses deployment(processes);
        deployment.start(loop);
        const Json json = measure(loop, deployment, *settings);
        std::cout << json.dump() << '\n';
        std::ofstream(settings->text("output") + ".json") << json.dump(2) << '\n';
    } catch (const std::exception &error) {
        std::cerr << "bench-path: " << error.what() << '\n';
        return static_cast<int>(ExitCode::Failure);
    }
    event_base_free(loop);
    return static_cast<int>(ExitCode::Success);
}
