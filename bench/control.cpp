/// Measures the cost of the control plane: network bytes, processor time, memory and store calls of
/// idle members, for groups of several sizes. Fits a line to the values of each cost.

#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Process/PreciseLoop.h"
#include "Pimentoward/Process/SettingsReader.h"
#include "standins/DeploymentProcesses.h"

#include <event2/event.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>

using namespace pimentoward;

namespace {

using Json = nlohmann::json;

std::vector<SettingSpec> settingsTable()
{
    using Kind = SettingKind;
    return {
        {"deployment", Kind::Text, "deployments/path-20.json",
         "Deployment file; its list of VMs is replaced.", 0, 0, "", false},
        {"programs", Kind::Text, "build", "Folder that holds the built programs.", 0, 0, "", false},
        {"settle-seconds", Kind::Integer, "5", "Time between start and measurement, in seconds.", 0,
         600, "", false},
        {"seconds", Kind::Integer, "10", "Duration of the measurement, in seconds.", 1, 600, "",
         false},
        {"most-members", Kind::Integer, "32",
         "Maximum group size; 4, 8, 16 and 32 up to it are measured.", 4, 32, "", false},
        {"output", Kind::Text, "out/control", "Prefix of the result file.", 0, 0, "", false},
    };
}

/// Values of the counters at one time, summed over the whole deployment.
struct Counters
{
    double cpuSeconds = 0;
    double residentBytes = 0;
    double peerBytes = 0;
    double storeCalls = 0;
};

/// Average resource use of one member, in a group of `members` members.
struct Cost
{
    std::size_t members = 0;
    /// Processor time as a share of one core.
    double cpuShare = 0;
    double residentBytes = 0;
    double bytesPerSecond = 0;
    double storeCallsPerSecond = 0;
};

/// Writes a copy of the deployment file with `members` VMs, distributed over its failure domains.
/// Returns the path of the copy.
std::string deploymentFile(const ResolvedSettings &settings, std::size_t members)
{
    std::ifstream input(settings.text("deployment"));
    Json json = Json::parse(input);
    const auto &domains = json.at("failureDomains");
    json["vms"] = Json::array();
    for (std::size_t number = 0; number < members; ++number) {
        json["vms"].push_back({{"id", "vm-" + std::to_string(number + 1)},
                               {"host", "127.31.1." + std::to_string(number + 1)},
                               {"failureDomain", domains[number % domains.size()].at("name")}});
    }
    const std::string prefix = settings.text("output");
    if (const auto folder = std::filesystem::path(prefix).parent_path(); !folder.empty()) {
        std::filesystem::create_directories(folder);
    }
    std::string file = prefix + "-" + std::to_string(members) + ".deployment.json";
    std::ofstream(file) << json.dump(2) << '\n';
    return file;
}

/// Sum of all counters of sent bytes in a state dump: the fields whose name ends in "ytesSent",
/// such as "controlBytesSent" and "peerBytesSent". Received bytes are left out, because each byte
/// between VMs is sent by one VM and received by another and would be counted twice.
double sentBytes(const Json &dump)
{
    const std::string ending = "ytesSent";
    double sum = 0;
    for (const auto &[name, value] : dump.items()) {
        const bool isCounter = name.size() >= ending.size()
            && name.compare(name.size() - ending.size(), ending.size(), ending) == 0;
        if (value.is_structured()) {
            sum += sentBytes(value);
        } else if (isCounter && value.is_number()) {
            sum += value.get<double>();
        }
    }
    return sum;
}

Json getJson(event_base *loop, const Address &address, const std::string &path)
{
    const HttpAnswer answer = standins::DeploymentProcesses::call(
        loop, address, {"GET", path, {}, {}, std::chrono::seconds(10)});
    return Json::parse(answer.body);
}

/// Reads the counters of all VMs and of the platform's store.
Counters readCounters(event_base *loop, const standins::DeploymentProcesses &deployment)
{
    using standins::DeploymentProcesses;
    Counters counters;
    counters.cpuSeconds = std::chrono::duration<double>(deployment.vmCpuTime()).count();
    for (const VmRecord &vm : deployment.deployment().vms) {
        counters.residentBytes += static_cast<double>(deployment.processes().residentBytes(vm.id));
        counters.peerBytes
            += sentBytes(getJson(loop, DeploymentProcesses::operatorAddress(vm), "/state"));
    }
    const Json stats = getJson(loop, deployment.platform(), "/stats");
    for (const char *name : {"reads", "writes", "watches"}) {
        counters.storeCalls += stats.value(name, 0.0);
    }
    return counters;
}

/// Starts a deployment of `members` VMs, lets it settle and measures its cost without load.
Cost measure(const ResolvedSettings &settings, std::size_t members)
{
    standins::DeploymentProcesses::Settings processes;
    processes.file = deploymentFile(settings, members);
    processes.programs = settings.text("programs");
    processes.logFolder = settings.text("output") + "-" + std::to_string(members);
    event_base *loop = newPreciseLoop();
    Cost cost;
    {
        standins::DeploymentProcesses deployment(processes);
        deployment.start(loop);
        std::this_thread::sleep_for(std::chrono::seconds(settings.integer("settle-seconds")));
        const auto start = std::chrono::steady_clock::now();
        const Counters before = readCounters(loop, deployment);
        std::this_thread::sleep_for(std::chrono::seconds(settings.integer("seconds")));
        const Counters after = readCounters(loop, deployment);
        const std::chrono::duration<double> length = std::chrono::steady_clock::now() - start;
        const double perMember = 1.0 / static_cast<double>(members);
        const double rate = perMember / length.count();
        cost.members = members;
        cost.cpuShare = (after.cpuSeconds - before.cpuSeconds) * rate;
        cost.residentBytes = after.residentBytes * perMember;
        cost.bytesPerSecond = (after.peerBytes - before.peerBytes) * rate;
        cost.storeCallsPerSecond = (after.storeCalls - before.storeCalls) * rate;
    }
    event_base_free(loop);
    return cost;
}

/// Fits a least-squares line to one field of Cost over the group size.
Json fit(const std::vector<Cost> &costs, double Cost::*field)
{
    const auto count = static_cast<double>(costs.size());
    double meanX = 0;
    double meanY = 0;
    for (const Cost &cost : costs) {
        meanX += static_cast<double>(cost.members) / count;
        meanY += cost.*field / count;
    }
    double covariance = 0;
    double variance = 0;
    for (const Cost &cost : costs) {
        const double x = static_cast<double>(cost.members) - meanX;
        covariance += x * (cost.*field - meanY);
        variance += x * x;
    }
    const double slope = variance == 0 ? 0 : covariance / variance;
    return {{"perMember", slope}, {"fixed", meanY - slope * meanX}};
}

Json toJson(const std::vector<Cost> &costs)
{
    Json sizes = Json::array();
    for (const Cost &cost : costs) {
        sizes.push_back({{"members", cost.members},
                         {"cpuShare", cost.cpuShare},
                         {"residentBytes", cost.residentBytes},
                         {"bytesPerSecond", cost.bytesPerSecond},
                         {"storeCallsPerSecond", cost.storeCallsPerSecond}});
    }
    return {{"sizes", sizes},
            {"cpuShare", fit(costs, &Cost::cpuShare)},
            {"residentBytes", fit(costs, &Cost::residentBytes)},
            {"bytesPerSecond", fit(costs, &Cost::bytesPerSecond)},
            {"storeCallsPerSecond", fit(costs, &Cost::storeCallsPerSecond)}};
}

} // namespace

int main(int argc, char **argv)
{
    ExitCode exitCode {};
    const SettingsReader reader("bench-control", "Control plane cost of idle members",
                                settingsTable());
    const auto settings = reader.readOrExit(argc, argv, exitCode);
    if (!settings) {
        return static_cast<int>(exitCode);
    }
    Log::start("ERROR");
    try {
        std::vector<Cost> costs;
        for (const std::size_t members : {4, 8, 16, 32}) {
            if (members <= static_cast<std::size_t>(settings->integer("most-members"))) {
                costs.push_back(measure(*settings, members));
            }
        }
        const Json json = toJson(costs);
        std::cout << json.dump(2) << '\n';
        std::ofstream(settings->text("output") + ".json") << json.dump(2) << '\n';
    } catch (const std::exception &error) {
        std::cerr << "bench-control: " << error.what() << '\n';
        return static_cast<int>(ExitCode::Failure);
    }
    return static_cast<int>(ExitCode::Success);
}
