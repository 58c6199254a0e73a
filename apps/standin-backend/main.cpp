#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Process/PreciseLoop.h"
#include "Pimentoward/Process/SettingsReader.h"
#include "Pimentoward/Process/SignalWatch.h"
#include "standins/BackendServerProcess.h"
#include "standins/Deployment.h"

#include <event2/event.h>

#include <csignal>
#include <iostream>

using namespace pimentoward;

namespace {

using Servers = std::vector<std::unique_ptr<standins::BackendServerProcess>>;

std::vector<SettingSpec> settingsTable()
{
    return {
        {"deployment", SettingKind::Text, "", "File that describes the VMs and services.", 0, 0, "",
         false},
        {"failure-domain", SettingKind::Text, "",
         "Serve only the backend servers of this failure domain; empty: all.", 0, 0, "", true},
        {"straggler-percent", SettingKind::Real, "0", "Share of subrequests that are stragglers.",
         0, 100, "", false},
        {"straggler-factor", SettingKind::Real, "20",
         "Service time of a straggler as a multiple of normal.", 1, 1000, "", false},
        {"warm-up-runs", SettingKind::Integer, "0",
         "Completed runs after which a cold server is warm; 0: always warm.", 0, 1'000'000, "",
         false},
        {"cold-factor", SettingKind::Real, "8",
         "Service time at the start of a cold start, as a multiple of normal.", 1, 1000, "", false},
        {"cold-slots", SettingKind::Integer, "1", "Concurrent runs that a cold server can sustain.",
         1, 1000, "", false},
        {"collapse-after", SettingKind::Integer, "8",
         "Runs begun beyond a cold server's capacity that make it collapse.", 0, 1'000'000, "",
         false},
        {"collapse-ms", SettingKind::Milliseconds, "2000", "Duration of a collapse.", 1, 600'000,
         "", false},
        {"shed-above", SettingKind::Integer, "0",
         "Maximum concurrent runs; further ones are refused; 0: no limit.", 0, 100'000, "", false},
        {"log-level", SettingKind::Choice, "INFO", "Level of the log.", 0, 0,
         "TRACE,DEBUG,INFO,WARN,ERROR,OFF", false},
    };
}

standins::BackendServerModel::Settings modelSettings(const standins::ServiceSpec &serviceSpec,
                                                     const ResolvedSettings &settings)
{
    constexpr double percent = 100;
    standins::BackendServerModel::Settings model;
    model.slots = serviceSpec.slots;
    model.serviceTime = serviceSpec.serviceTime;
    model.stragglerShare = settings.real("straggler-percent") / percent;
    model.stragglerFactor = settings.real("straggler-factor");
    model.warmUpRuns = static_cast<int>(settings.integer("warm-up-runs"));
    model.coldFactor = settings.real("cold-factor");
    model.coldSlots = static_cast<int>(settings.integer("cold-slots"));
    model.collapseAfter = static_cast<int>(settings.integer("collapse-after"));
    model.collapseTime = settings.milliseconds("collapse-ms");
    model.shedAbove = static_cast<int>(settings.integer("shed-above"));
    return model;
}

/// Starts the selected backend servers of one service. Fails with a reason if one cannot listen.
bool startService(event_base *loop, const standins::Deployment &deployment,
                  const standins::ServiceSpec &serviceSpec, const ResolvedSettings &settings,
                  Servers &servers, Reason &reason)
{
    constexpr IndexVersion firstVersion = 1;
    const ServiceCatalog catalog = deployment.catalog(serviceSpec, firstVersion);
    const auto records = std::make_shared<const standins::RecordSet>(
        standins::RecordSet::ofKind(serviceSpec.recordKind, serviceSpec.seed, serviceSpec.records));
    const std::string &domain = settings.text("failure-domain");
    std::uint32_t seed = serviceSpec.seed;
    for (const auto &[id, description] : catalog.backendServers) {
        ++seed;
        if (!domain.empty() && description.failureDomain != domain) {
            continue;
        }
        standins::BackendServerModel::Settings model = modelSettings(serviceSpec, settings);
        model.seed = seed;
        servers.push_back(std::make_unique<standins::BackendServerProcess>(
            loop, description, catalog, records, model));
        if (!servers.back()->listen(reason)) {
            return false;
        }
    }
    return true;
}

} // namespace

int main(int argc, char **argv)
{
    ExitCode exitCode {};
    const SettingsReader reader("standin-backend", "Stand-in for backend servers", settingsTable());
    const auto settings = reader.readOrExit(argc, argv, exitCode);
    if (!settings) {
        return static_cast<int>(exitCode);
    }
    Log::start(settings->text("log-level"));
    Reason reason;
    const auto deployment = standins::Deployment::load(settings->text("deployment"), reason);
    if (!deployment) {
        std::cerr << "standin-backend: " << reason.text << '\n';
        return static_cast<int>(ExitCode::InvalidSettings);
    }
    event_base *loop = newPreciseLoop();
    {
        Servers servers;
        for (const standins::ServiceSpec &serviceSpec : deployment->services) {
            if (!startService(loop, *deployment, serviceSpec, *settings, servers, reason)) {
                std::cerr << "standin-backend: " << reason.text << '\n';
                return static_cast<int>(ExitCode::CannotListen);
            }
        }
        const SignalWatch stop(loop, {SIGINT, SIGTERM},
                               [loop](int) { event_base_loopbreak(loop); });
        LOG4CPLUS_INFO(Log::part("backend"), "Serving " << servers.size() << " backend servers");
        event_base_dispatch(loop);
    }
    event_base_free(loop);
    return static_cast<int>(ExitCode::Success);
}
