#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Core/SystemClock.h"
#include "Pimentoward/Process/ControlTask.h"
#include "Pimentoward/Process/DaemonSettings.h"
#include "Pimentoward/Process/QueryTask.h"
#include "Pimentoward/Process/SignalWatch.h"

#include <event2/event.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <iostream>
#include <random>
#include <sstream>

using namespace pimentoward;

namespace {

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
    const auto settings = daemonSettingsReader().readOrExit(argc, argv, exitCode);
    if (!settings) {
        return static_cast<int>(exitCode);
    }
    Log::start(settings->text("log-level"));
    return run(*settings);
}
