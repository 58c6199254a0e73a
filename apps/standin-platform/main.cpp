#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Process/PreciseLoop.h"
#include "Pimentoward/Process/SettingsReader.h"
#include "Pimentoward/Process/SignalWatch.h"
#include "standins/Deployment.h"
#include "standins/PlatformServer.h"

#include <event2/event.h>

#include <csignal>
#include <iostream>

using namespace pimentoward;

namespace {

std::vector<SettingSpec> settingsTable()
{
    return {
        {"listen", SettingKind::AddressValue, "127.0.0.1:7000",
         "Address on which the platform listens.", 0, 0, "", false},
        {"deployment", SettingKind::Text, "", "File that describes the VMs and services.", 0, 0, "",
         false},
        {"log-level", SettingKind::Choice, "INFO", "Level of the log.", 0, 0,
         "TRACE,DEBUG,INFO,WARN,ERROR,OFF", false},
    };
}

/// Writes the VMs and the service catalogs of the deployment to the store.
void fillStore(standins::PlatformStore &store, const standins::Deployment &deployment)
{
    constexpr IndexVersion firstVersion = 1;
    for (const VmRecord &vm : deployment.vms) {
        store.putVm(vm);
    }
    for (const standins::ServiceSpec &serviceSpec : deployment.services) {
        store.put("service/" + serviceSpec.name,
                  deployment.catalog(serviceSpec, firstVersion).toJson());
    }
}

} // namespace

int main(int argc, char **argv)
{
    ExitCode exitCode {};
    const SettingsReader reader("standin-platform", "Stand-in for the platform's store and VM list",
                                settingsTable());
    const auto settings = reader.readOrExit(argc, argv, exitCode);
    if (!settings) {
        return static_cast<int>(exitCode);
    }
    Log::start(settings->text("log-level"));
    Reason reason;
    const auto deployment = standins::Deployment::load(settings->text("deployment"), reason);
    if (!deployment) {
        std::cerr << "standin-platform: " << reason.text << '\n';
        return static_cast<int>(ExitCode::InvalidSettings);
    }
    event_base *loop = newPreciseLoop();
    {
        standins::PlatformServer server(loop);
        fillStore(server.store(), *deployment);
        if (!server.listen(settings->address("listen"), reason)) {
            std::cerr << "standin-platform: " << reason.text << '\n';
            return static_cast<int>(ExitCode::CannotListen);
        }
        const SignalWatch stop(loop, {SIGINT, SIGTERM},
                               [loop](int) { event_base_loopbreak(loop); });
        LOG4CPLUS_INFO(Log::part("platform"), "Serving on " << settings->text("listen"));
        event_base_dispatch(loop);
    }
    event_base_free(loop);
    return static_cast<int>(ExitCode::Success);
}
