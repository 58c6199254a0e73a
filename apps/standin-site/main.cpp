#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Process/PreciseLoop.h"
#include "Pimentoward/Process/SettingsReader.h"
#include "Pimentoward/Process/SignalWatch.h"
#include "standins/Site.h"

#include <event2/event.h>

#include <csignal>
#include <iostream>

using namespace pimentoward;

namespace {

constexpr long maxServers = 200;

std::vector<SettingSpec> settingsTable()
{
    return {
        {"listen", SettingKind::AddressValue, "127.0.0.1:7100",
         "Address on which the store listens.", 0, 0, "", false},
        {"shards", SettingKind::Integer, "10", "Number of shards of the fan-out route /all/.", 1,
         maxServers, "", false},
        {"replicas", SettingKind::Integer, "2", "Number of backend servers of each shard.", 1,
         maxServers, "", false},
        {"log-level", SettingKind::Choice, "INFO", "Level of the log.", 0, 0,
         "TRACE,DEBUG,INFO,WARN,ERROR,OFF", false},
    };
}

} // namespace

int main(int argc, char **argv)
{
    ExitCode exitCode {};
    const SettingsReader reader(
        "standin-site", "Stand-in for the platform's store and backend servers", settingsTable());
    const auto settings = reader.readOrExit(argc, argv, exitCode);
    if (!settings) {
        return static_cast<int>(exitCode);
    }
    Log::start(settings->text("log-level"));
    standins::Site::Settings siteSettings;
    siteSettings.store = settings->address("listen");
    siteSettings.shards = static_cast<std::size_t>(settings->integer("shards"));
    siteSettings.replicas = static_cast<std::size_t>(settings->integer("replicas"));
    event_base *loop = newPreciseLoop();
    {
        standins::Site site(loop, siteSettings);
        if (Reason reason; !site.start(reason)) {
            std::cerr << "standin-site: " << reason.text << '\n';
            return static_cast<int>(ExitCode::CannotListen);
        }
        const SignalWatch stop(loop, {SIGINT, SIGTERM},
                               [loop](int) { event_base_loopbreak(loop); });
        LOG4CPLUS_INFO(Log::part("site"), "Serving on " << settings->text("listen"));
        event_base_dispatch(loop);
    }
    event_base_free(loop);
    return static_cast<int>(ExitCode::Success);
}
