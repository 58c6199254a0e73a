/// Lets random faults meet real processes of the tier on a stand-in site, seed by seed.

#include "standins/Soak.h"
#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Process/PreciseLoop.h"
#include "Pimentoward/Process/SettingsReader.h"

#include <event2/event.h>

#include <iostream>

using namespace pimentoward;

namespace {

constexpr long mostSeeds = 100'000;

std::vector<SettingSpec> settingsTable()
{
    using Kind = SettingKind;
    return {
        {"first", Kind::Integer, "1", "The first seed.", 0, 1'000'000'000, "", false},
        {"seeds", Kind::Integer, "1", "How many seeds, one after the other.", 1, mostSeeds, "",
         false},
        {"seconds", Kind::Integer, "8", "Time during which faults begin, each seed.", 1, 3600, "",
         false},
        {"vms", Kind::Integer, "4", "VMs of the tier.", 1, 40, "", false},
        {"without", Kind::Text, "none", "Mechanism that is off in all VMs, to see the soak fail.",
         0, 0, "", false},
        {"host", Kind::Text, "127.0.5.", "First three numbers of the loopback addresses in use.", 0,
         0, "", false},
        {"programs", Kind::Text, "build", "Folder of the built programs.", 0, 0, "", false},
    };
}

/// Runs one seed; true where no promise was broken.
bool runSeed(std::uint32_t seed, const ResolvedSettings &settings)
{
    standins::Soak::Settings target;
    target.programs = settings.text("programs");
    target.host = settings.text("host");
    target.logFolder = "out/soak/" + settings.text("without") + "-" + std::to_string(seed);
    if (const std::string &without = settings.text("without"); without != "none") {
        target.without = without;
    }
    target.seed = seed;
    target.vms = static_cast<std::size_t>(settings.integer("vms"));
    target.faultPeriod = std::chrono::seconds(settings.integer("seconds"));
    event_base *loop = newPreciseLoop();
    standins::Soak::Report report;
    {
        standins::Soak soak(loop, target);
        report = soak.run();
    }
    event_base_free(loop);
    const bool isClean = report.violations.empty();
    std::cout << (isClean ? "passed" : "FAILED") << " seed " << seed << ": " << report.requests
              << " requests, " << report.served << " served, " << report.faults.size()
              << " faults\n";
    for (const std::string &violation : report.violations) {
        std::cout << "  " << violation << '\n';
    }
    if (!isClean) {
        for (const std::string &fault : report.faults) {
            std::cout << "    " << fault << '\n';
        }
    }
    return isClean;
}

} // namespace

int main(int argc, char **argv)
{
    ExitCode exitCode {};
    const SettingsReader reader("bench-soak", "Random faults against real processes of the tier",
                                settingsTable());
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
