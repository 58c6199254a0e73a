#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Core/SystemClock.h"
#include "Pimentoward/Process/ControlTask.h"
#include "Pimentoward/Process/QueryTask.h"
#include "Pimentoward/Process/SettingsReader.h"
#include "Pimentoward/Process/SignalWatch.h"

#include <event2/event.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <iostream>
#include <random>
#include <sstream>

using namespace pimentoward;

namespace {

std::vector<SettingSpec> settingsTable()
{
    using Kind = SettingKind;
    return {
        {"vm", Kind::Text, "", "Name of this VM in the platform's VM list.", 0, 0, "", false},
        {"failure-domain", Kind::Text, "", "Failure domain of this VM.", 0, 0, "", false},
        {"caller-listen", Kind::AddressValue, "127.0.0.1:8080", "Address for callers.", 0, 0, "",
         false},
        {"operator-listen", Kind::AddressValue, "127.0.0.1:8081", "Address for operators.", 0, 0,
         "", false},
        {"data-listen", Kind::AddressValue, "127.0.0.1:8082",
         "Address for the other VMs' subrequests; its port must be equal on all VMs.", 0, 0, "",
         false},
        {"control-listen", Kind::AddressValue, "127.0.0.1:8083",
         "Address for the other VMs' heartbeats; its port must be equal on all VMs.", 0, 0, "",
         false},
        {"platform", Kind::AddressValue, "127.0.0.1:7000", "Address of the platform.", 0, 0, "",
         false},
        {"store-timeout-ms", Kind::Milliseconds, "1000", "Longest wait for one store call.", 10,
         60'000, "", false},
        {"longest-body", Kind::Integer, "1048576", "Longest body of a caller, in bytes.", 1024,
         67'108'864, "", false},
        {"log-level", Kind::Choice, "INFO", "Level of the log.", 0, 0,
         "TRACE,DEBUG,INFO,WARN,ERROR,OFF", false},
    };
}

/// Two listeners on one address would fail only once the second binds; say so at the check.
std::optional<std::string> sameAddressTwice(const ResolvedSettings &settings)
{
    const std::vector<std::string> names {"caller-listen", "operator-listen", "data-listen",
                                          "control-listen"};
    for (std::size_t a = 0; a < names.size(); ++a) {
        for (std::size_t b = a + 1; b < names.size(); ++b) {
            if (settings.text(names[a]) == settings.text(names[b])) {
                return "settings '" + names[a] + "' and '" + names[b] + "' have the same value '"
                    + settings.text(names[a]) + "'; allowed: different addresses";
            }
        }
    }
    return std::nullopt;
}

std::string newRequestPrefix(const std::string &vm)
{
    std::random_device random;
    std::ostringstream text;
    text << vm << '-' << std::hex << random() << random();
    return text.str();
}

QueryTaskSettings querySettings(const ResolvedSettings &settings)
{
    QueryTaskSettings result;
    result.self = settings.text("vm");
    result.requestPrefix = newRequestPrefix(result.self);
    result.callerListen = settings.address("caller-listen");
    result.peerListen = settings.address("data-listen");
    result.platform = settings.address("platform");
    result.storeCallTimeout = settings.milliseconds("store-timeout-ms");
    result.http.longestBody = static_cast<std::size_t>(settings.integer("longest-body"));
    return result;
}

ControlTaskSettings controlSettings(const ResolvedSettings &settings)
{
    ControlTaskSettings result;
    result.self = {settings.text("vm"), settings.address("data-listen").host,
                   settings.text("failure-domain")};
    result.platform = settings.address("platform");
    result.storeCallTimeout = settings.milliseconds("store-timeout-ms");
    result.operatorListen = settings.address("operator-listen");
    result.peerListen = settings.address("control-listen");
    return result;
}

int run(const ResolvedSettings &settings)
{
    const SystemClock clock;
    QueryTask query(querySettings(settings), clock);
    ControlTask control(
        controlSettings(settings), clock, [&query](auto view) { query.postView(std::move(view)); },
        [&query](ControlTask::DumpHook hook) { query.postDump(std::move(hook)); });
    if (Reason reason; !query.listen(reason) || !control.listen(reason)) {
        std::cerr << "pimentod: " << reason.text << '\n';
        return static_cast<int>(ExitCode::CannotListen);
    }
    event_base *loop = event_base_new();
    {
        const SignalWatch signals(loop, {SIGINT, SIGTERM, SIGUSR1}, [&](int signal) {
            if (signal != SIGUSR1) {
                event_base_loopbreak(loop);
                return;
            }
            control.postDump([](const nlohmann::json &state) {
                LOG4CPLUS_INFO(Log::part("dump"), state.dump());
            });
        });
        query.start();
        control.start();
        LOG4CPLUS_INFO(Log::part("process"), "Serving on " << settings.text("caller-listen"));
        event_base_dispatch(loop);
        control.stop();
        query.stop();
    }
    event_base_free(loop);
    LOG4CPLUS_INFO(Log::part("process"), "Stopped");
    return static_cast<int>(ExitCode::Success);
}

} // namespace

int main(int argc, char **argv)
{
    ExitCode exitCode {};
    SettingsReader reader("pimentod", "The query tier's daemon, one on each entry VM",
                          settingsTable());
    reader.crossCheck(sameAddressTwice);
    const auto settings = reader.readOrExit(argc, argv, exitCode);
    if (!settings) {
        return static_cast<int>(exitCode);
    }
    Log::start(settings->text("log-level"));
    return run(*settings);
}
