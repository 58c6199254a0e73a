#include "tests/Process/SettingsSimulation.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace pimentoward;
using tests::SettingsSimulation;

namespace {

constexpr unsigned firstSeed = 1;

/// Runs simulations with consecutive seeds until one reports a violation. Returns the violation, or
/// an empty text. Adds the number of answers with each result code to `answers`, and raises
/// `maxAcceptanceTime` to the longest time from commit to acceptance.
std::string searchSeeds(unsigned count, const SettingsSyncSettings &settings,
                        std::map<ResultCode, std::size_t> &answers, Duration &maxAcceptanceTime)
{
    for (unsigned seed = firstSeed; seed < firstSeed + count; ++seed) {
        SettingsSimulation simulation(seed, settings);
        simulation.run();
        if (!simulation.violations().empty()) {
            return simulation.violations().front();
        }
        for (const auto &row : resultCodeTable()) {
            answers[row.code] += simulation.answered(row.code);
        }
        maxAcceptanceTime = std::max(maxAcceptanceTime, simulation.lastAcceptanceDelay());
    }
    return {};
}

std::string searchSeeds(unsigned count, const SettingsSyncSettings &settings)
{
    std::map<ResultCode, std::size_t> answers;
    Duration maxAcceptanceTime {};
    return searchSeeds(count, settings, answers, maxAcceptanceTime);
}

} // namespace

TEST_CASE("Settings stay consistent under faults and concurrent changes", "[settings]")
{
    constexpr unsigned seeds = 200;
    std::map<ResultCode, std::size_t> answers;
    Duration maxAcceptanceTime {};
    const std::string violation = searchSeeds(seeds, {}, answers, maxAcceptanceTime);
    INFO(violation);
    CHECK(violation.empty());
    // Each kind of outcome must have occurred often; otherwise the faults did not test anything.
    CHECK(answers[ResultCode::Ok] > 1000);
    CHECK(answers[ResultCode::RevisionConflict] > 500);
    CHECK(answers[ResultCode::UnsureWrite] > 5);
    CHECK(answers[ResultCode::StoreUnavailable] > 50);
    CHECK(maxAcceptanceTime > std::chrono::seconds(3)); // in some seeds one VM was frozen
}

TEST_CASE("Settings stay consistent over a long search of seeds", "[.search]")
{
    constexpr unsigned seeds = 3000;
    std::map<ResultCode, std::size_t> answers;
    Duration maxAcceptanceTime {};
    const std::string violation = searchSeeds(seeds, {}, answers, maxAcceptanceTime);
    std::cout << seeds << " seeds, violation: " << (violation.empty() ? "none" : violation)
              << "; slowest acceptance " << std::chrono::duration<double>(maxAcceptanceTime).count()
              << " s\n";
    for (const auto &[code, count] : answers) {
        std::cout << resultCodeInfo(code).name << ' ' << count << '\n';
    }
    CHECK(violation.empty());
}

TEST_CASE("Settings become inconsistent when any one of the mechanisms is off", "[settings]")
{
    constexpr unsigned seeds = 200;
    SettingsSyncSettings settings;
    SECTION("reading back writes of unknown outcome")
    {
        settings.readsBackUnsureWrites = false;
    }
    SECTION("waiting for the members")
    {
        settings.waitsForMembers = false;
    }
    SECTION("catching up at start")
    {
        settings.catchesUpAtStart = false;
    }
    SECTION("waiting for unknown members")
    {
        settings.waitsForUnknownMembers = false;
    }
    SECTION("rejecting older revisions")
    {
        settings.rejectsOlderRevisions = false;
    }
    SECTION("stopping when behind")
    {
        settings.stopsWhenBehind = false;
    }
    SECTION("refusing conflicts")
    {
        settings.refusesConflicts = false;
    }
    CHECK_FALSE(searchSeeds(seeds, settings).empty());
}
