#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Process/PreciseLoop.h"
#include "Pimentoward/Process/SettingsReader.h"
#include "Pimentoward/Process/SignalWatch.h"
#include "standins/Relay.h"

#include <event2/event.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace pimentoward;

namespace {

std::vector<SettingSpec> settingsTable()
{
    using Kind = SettingKind;
    return {
        {"pairs", Kind::Text, "",
         "JSON file of pairs: [{\"name\", \"listen\", \"target\"}], addresses as IP:port.", 0, 0,
         "", false},
        {"control-listen", Kind::AddressValue, "127.0.0.1:7100",
         "Address for commands to the relay.", 0, 0, "", false},
        {"delay-ms", Kind::Integer, "0", "One-way delay, in ms.", 0, 10'000, "", false},
        {"jitter-ms", Kind::Integer, "0", "Maximum of the random delay added to it, in ms.", 0,
         10'000, "", false},
        {"loss-percent", Kind::Real, "0", "Share of data chunks that a lost packet delays.", 0, 100,
         "", false},
        {"loss-stall-ms", Kind::Integer, "200",
         "Time for which a lost packet stalls its connection, in ms.", 0, 60'000, "", false},
        {"seed", Kind::Integer, "1", "Seed of random jitter and loss.", 0, 4'294'967'295.0, "",
         false},
        {"log-level", Kind::Choice, "INFO", "Level of the log.", 0, 0,
         "TRACE,DEBUG,INFO,WARN,ERROR,OFF", false},
    };
}

standins::RelayLinkSettings linkSettings(const ResolvedSettings &settings)
{
    constexpr double percent = 100;
    standins::RelayLinkSettings link;
    link.delay = std::chrono::milliseconds(settings.integer("delay-ms"));
    link.jitter = std::chrono::milliseconds(settings.integer("jitter-ms"));
    link.lossShare = settings.real("loss-percent") / percent;
    link.lossStall = std::chrono::milliseconds(settings.integer("loss-stall-ms"));
    return link;
}

/// Prints an error. Returns the exit status of the program.
int reportFailure(const Reason &reason, ExitCode code)
{
    std::cerr << "standin-relay: " << reason.text << '\n';
    return static_cast<int>(code);
}

} // namespace

int main(int argc, char **argv)
{
    ExitCode exitCode {};
    const SettingsReader reader("standin-relay", "Stand-in for links between failure domains",
                                settingsTable());
    const auto settings = reader.readOrExit(argc, argv, exitCode);
    if (!settings) {
        return static_cast<int>(exitCode);
    }
    Log::start(settings->text("log-level"));
    std::ostringstream text;
    text << std::ifstream(settings->text("pairs")).rdbuf();
    Reason reason;
    const auto pairs = standins::Relay::parsePairs(text.str(), reason);
    if (!pairs) {
        return reportFailure(reason, ExitCode::InvalidSettings);
    }
    event_base *loop = newPreciseLoop();
    {
        standins::Relay relay(loop, linkSettings(*settings),
                              static_cast<std::uint32_t>(settings->integer("seed")));
        if (!relay.listenForControl(settings->address("control-listen"), reason)) {
            return reportFailure(reason, ExitCode::CannotListen);
        }
        for (const standins::Relay::Pair &pair : *pairs) {
            if (!relay.listen(pair, reason)) {
                return reportFailure(reason, ExitCode::CannotListen);
            }
        }
        const SignalWatch stop(loop, {SIGINT, SIGTERM},
                               [loop](int) { event_base_loopbreak(loop); });
        LOG4CPLUS_INFO(Log::part("relay"), "Relaying " << pairs->size() << " pairs");
        event_base_dispatch(loop);
    }
    event_base_free(loop);
    return static_cast<int>(ExitCode::Success);
}
