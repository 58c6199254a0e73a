#include "tests/Process/SettingsSimulation.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace pimentoward;
using tests::SettingsSimulation;

namespace {

constexpr unsigned firstSeed = 1;

/// Runs seeds until a checker sees something; what it saw, or nothing.
std::string searchSeeds(unsigned count, const SettingsSyncSettings &settings,
                        std::map<ResultCode, std::size_t> &answers, Duration &slowest)
{
    for (unsigned seed = firstSeed; seed < firstSeed + count; ++seed) {
        SettingsSimulation world(seed, settings);
        world.run();
        if (!world.violations().empty()) {
            return world.violations().front();
        }
        for (const auto &row : resultCodeTable()) {
            answers[row.code] += world.answered(row.code);
        }
        slowest = std::max(slowest, world.lastAcceptance());
    }
    return {};
}

std::string searchSeeds(unsigned count, const SettingsSyncSettings &settings)
{
    std::map<ResultCode, std::size_t> answers;
    Duration slowest {};
    return searchSeeds(count, settings, answers, slowest);
}

} // namespace

TEST_CASE("Settings stay in step under faults and racing operators", "[settings]")
{
    constexpr unsigned seeds = 200;
    std::map<ResultCode, std::size_t> answers;
    Duration slowest {};
    const std::string seen = searchSeeds(seeds, {}, answers, slowest);
    INFO(seen);
    CHECK(seen.empty());
    // Each kind of end must have been met, else the faults prove nothing.
    CHECK(answers[ResultCode::Ok] > 1000);
    CHECK(answers[ResultCode::RevisionConflict] > 500);
    CHECK(answers[ResultCode::UnsureWrite] > 5);
    CHECK(answers[ResultCode::StoreUnavailable] > 50);
    CHECK(slowest > std::chrono::seconds(3)); // one VM was frozen in some
}

TEST_CASE("A long search of the settings' seeds", "[.search]")
{
    constexpr unsigned seeds = 3000;
    std::map<ResultCode, std::size_t> answers;
    Duration slowest {};
    const std::string seen = searchSeeds(seeds, {}, answers, slowest);
    std::cout << seeds << " seeds, seen: " << (seen.empty() ? "nothing" : seen)
              << "; slowest acceptance " << std::chrono::duration<double>(slowest).count()
              << " s\n";
    for (const auto &[code, count] : answers) {
        std::cout << resultCodeInfo(code).name << ' ' << count << '\n';
    }
    CHECK(seen.empty());
}

TEST_CASE("Each mechanism of the settings is needed", "[settings]")
{
    constexpr unsigned seeds = 200;
    SettingsSyncSettings settings;
    SECTION("reading back unsure writes")
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
    SECTION("never going back")
    {
        settings.neverGoesBack = false;
    }
    SECTION("stopping where behind")
    {
        settings.stopsWhereBehind = false;
    }
    SECTION("refusing conflicts")
    {
        settings.refusesConflicts = false;
    }
    CHECK_FALSE(searchSeeds(seeds, settings).empty());
}
