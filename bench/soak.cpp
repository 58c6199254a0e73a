/// Soak test: runs real processes of the tier on a stand-in site, injects random faults and checks
/// the guarantees of the tier. Each seed is a run of its own.

#include "standins/Soak.h"
#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Process/PreciseLoop.h"
#include "Pimentoward/Process/SettingsReader.h"

#include <event2/event.h>

#include <iostream>

using namespace pimentoward;

namespace {

constexpr long maxSeeds = 100'000;

std::vector<SettingSpec> settingsTable()
{
    using Kind = SettingKind;
    return {
        {"first", Kind::Integer, "1", "First seed to run.", 0, 1'000'000'000, "", false},
        {"seeds", Kind::Integer, "1", "Number of seeds to run, one after the other.", 1, maxSeeds,
         "", false},
        {"seconds", Kind::Integer, "8", "Time in seconds during which faults begin, for each seed.",
         1, 3600, "", false},
        {"vms", Kind::Integer, "4", "Number of VMs of the tier.", 1, 40, "", false},
        {"without", Kind::Text, "none",
         "Mechanism to disable in all VMs; the soak test then has to fail.", 0, 0, "", false},
        {"host", Kind::Text, "127.0.5.", "First three numbers of the loopback addresses to use.", 0,
         0, "", false},
        {"programs", Kind::Text, "build", "Folder that holds the built programs.", 0, 0, "", false},
    };
}

/// Runs one seed and prints its result. Returns true if no guarantee was violated.
bool runSeed(std::uint32_t seed, const ResolvedSettings &settings)
{
    standins::Soak::Settings soakSettings;
    soakSettings.programs = settings.text("programs");
    soakSettings.host = settings.text("host");
    soakSettings.logFolder = "out/soak/" + settings.text("without") + "-" + std::to_string(seed);
    if (const std::string &without = settings.text("without"); without != "none") {
        soakSettings.without = without;
    }
    soakSettings.seed = seed;
    soakSettings.vms = static_cast<std::size_t>(settings.integer("vms"));
    soakSettings.faultPeriod = std::chrono::seconds(settings.integer("seconds"));
    event_base *loop = newPreciseLoop();
    standins::Soak::Report report;
    {
        standins::Soak soak(loop, soakSettings);
        report = soak.run();
    }
    event_base_free(loop);
    const bool hasPassed = report.violations.empty();
    std::cout << (hasPassed ? "passed" : "FAILED") << " seed " << seed << ": " << report.requests
              << " requests, " << report.served << " served, " << report.events.size()
              << " faults\n";
    for (const std::string &violation : report.violations) {
        std::cout << "  " << violation << '\n';
    }
    if (!hasPassed) {
        for (const std::string &event : report.events) {
            std::cout << "    " << event << '\n';
        }
    }
    return hasPassed;
}

} // namespace

int main(int argc, char **argv)
{
    ExitCode exitCode {};
    const SettingsReader reader(
        "bench-soak", "Injects random faults into real processes of the tier", settingsTable());
    const auto settings = reader.readOrExit(argc, argv, exitCode);
    if (!settings) {
        return static_cast<int>(exitCode);
    }
    Log::start("ERROR");
    const auto first = static_cast<std::uint32_t>(settings->integer("first"));
    const auto seeds = static_cast<std::uint32_t>(settings->integer("seeds"));
    std::uint32_t failed = 0;
    for (std::uint32_t seed = first; seed < first + seeds; ++seed) {
        failed += runSeed(seed, *settings) ? 0 : 1;
    }
    std::cout << seeds - failed << " passed, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}
