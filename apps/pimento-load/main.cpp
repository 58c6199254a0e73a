#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Process/PreciseLoop.h"
#include "Pimentoward/Process/SettingsReader.h"
#include "apps/pimento-load/LoadSettings.h"
#include "standins/CallerLoadBalancer.h"
#include "standins/DirectFanout.h"
#include "standins/PolicyComparison.h"

#include <event2/event.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <iostream>

using namespace pimentoward;

namespace {

using Loads = std::vector<standins::LoadPlan::Settings>;

standins::LoadRunner::SendHook sendTo(standins::CallerLoadBalancer &loadBalancer)
{
    return [&loadBalancer](const auto &request, auto done) {
        loadBalancer.send(request, std::move(done));
    };
}

standins::CallerLoadBalancer makeLoadBalancer(event_base *loop, const ResolvedSettings &settings,
                                              const std::string &name)
{
    Reason reason;
    standins::CallerLoadBalancer::Settings balancerSettings;
    balancerSettings.probePeriod = std::chrono::milliseconds(settings.integer("probe-ms"));
    balancerSettings.keepsBody = settings.flag("once");
    return {loop, *LoadSettings::addresses(settings.text(name), reason), balancerSettings};
}

/// Writes the text to the file PREFIX + ending. Does nothing if the setting 'output', which holds
/// the prefix, is empty.
void write(const ResolvedSettings &settings, const std::string &ending, const std::string &text)
{
    const std::string &prefix = settings.text("output");
    if (prefix.empty()) {
        return;
    }
    if (const auto folder = std::filesystem::path(prefix).parent_path(); !folder.empty()) {
        std::filesystem::create_directories(folder);
    }
    std::ofstream(prefix + ending) << text;
}

/// Plans one lookup and one search of each service, all to be sent at once.
std::vector<standins::PlannedRequest> planOnce(Loads loads)
{
    std::vector<standins::PlannedRequest> plan;
    for (auto &load : loads) {
        load.rate = 1;
        load.length = std::chrono::seconds(1);
        load.isPoisson = false;
        for (const double searchShare : {0.0, 1.0}) {
            load.searchShare = searchShare;
            for (auto &request : standins::LoadPlan::make({load})) {
                request.at = Duration::zero();
                plan.push_back(std::move(request));
            }
        }
    }
    return plan;
}

ExitCode runOnce(event_base *loop, const ResolvedSettings &settings, const Loads &loads)
{
    standins::CallerLoadBalancer loadBalancer = makeLoadBalancer(loop, settings, "targets");
    const auto plan = planOnce(loads);
    const auto samples = standins::LoadRunner::run(loop, plan, sendTo(loadBalancer));
    bool allComplete = true;
    for (std::size_t index = 0; index < plan.size(); ++index) {
        const standins::LoadOutcome &outcome = samples[index].outcome;
        allComplete = allComplete && outcome.isComplete();
        std::cout << plan[index].callerBody << "\n  -> "
                  << (outcome.body.empty() ? std::string(resultCodeInfo(outcome.code).meaning)
                                           : outcome.body)
                  << '\n';
    }
    return allComplete ? ExitCode::Success : ExitCode::Failure;
}

ExitCode runLoad(event_base *loop, const ResolvedSettings &settings, const Loads &loads)
{
    standins::CallerLoadBalancer loadBalancer = makeLoadBalancer(loop, settings, "targets");
    const standins::CallerReport report(
        standins::LoadRunner::run(loop, standins::LoadPlan::make(loads), sendTo(loadBalancer)));
    std::cout << standins::CallerReport::tableHeading() << report.tableRow("load");
    std::cout << report.toJson().dump() << '\n';
    write(settings, ".json", report.toJson().dump(2) + "\n");
    return ExitCode::Success;
}

ExitCode runCompare(event_base *loop, const ResolvedSettings &settings,
                    const standins::Deployment &deployment, const Loads &loads)
{
    constexpr IndexVersion firstVersion = 1;
    const bool isDirect = settings.text("compare") == "direct";
    standins::CallerLoadBalancer balancerA = makeLoadBalancer(loop, settings, "targets");
    standins::CallerLoadBalancer balancerB
        = makeLoadBalancer(loop, settings, isDirect ? "targets" : "targets-b");
    std::vector<ServiceCatalog> catalogs;
    for (const standins::ServiceSpec &serviceSpec : deployment.services) {
        catalogs.push_back(deployment.catalog(serviceSpec, firstVersion));
    }
    standins::DirectFanout::Settings fanout;
    fanout.vms = static_cast<std::size_t>(settings.integer("direct-vms"));
    fanout.limitPerVm = static_cast<int>(settings.integer("direct-limit"));
    standins::DirectFanout direct(loop, catalogs, fanout);
    standins::PolicyComparison::Policy policyA;
    policyA.name = "A";
    policyA.send = sendTo(balancerA);
    standins::PolicyComparison::Policy policyB;
    policyB.name = isDirect ? "direct" : "B";
    policyB.send = sendTo(balancerB);
    if (isDirect) {
        policyB.send
            = [&direct](const auto &request, auto done) { direct.send(request, std::move(done)); };
    }
    const auto result
        = standins::PolicyComparison::run(loop, standins::LoadPlan::make(loads), policyA, policyB,
                                          static_cast<std::size_t>(settings.integer("rounds")));
    std::cout << result.table() << result.toJson().dump() << '\n';
    write(settings, ".json", result.toJson().dump(2) + "\n");
    write(settings, ".data", result.plotData());
    return ExitCode::Success;
}

ExitCode run(const ResolvedSettings &settings)
{
    Reason reason;
    const auto deployment = standins::Deployment::load(settings.text("deployment"), reason);
    const auto loads
        = deployment ? LoadSettings::loads(settings, *deployment, reason) : std::nullopt;
    if (!loads) {
        std::cerr << "pimento-load: " << reason.text << '\n';
        return ExitCode::InvalidSettings;
    }
    event_base *loop = newPreciseLoop();
    ExitCode code = ExitCode::Success;
    if (settings.flag("once")) {
        code = runOnce(loop, settings, *loads);
    } else if (settings.text("compare") == "none") {
        code = runLoad(loop, settings, *loads);
    } else {
        code = runCompare(loop, settings, *deployment, *loads);
    }
    event_base_free(loop);
    return code;
}

} // namespace

int main(int argc, char **argv)
{
    ExitCode exitCode {};
    SettingsReader reader("pimento-load", "Sends open-loop load and compares policies",
                          LoadSettings::table());
    reader.crossCheck(LoadSettings::crossCheck);
    const auto settings = reader.readOrExit(argc, argv, exitCode);
    if (!settings) {
        return static_cast<int>(exitCode);
    }
    Log::start(settings->text("log-level"));
    return static_cast<int>(run(*settings));
}
