#include "Pimentoward/Version/ServiceCatalog.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace pimentoward;
using std::chrono::seconds;
using Kind = ScheduleEntry::Kind;

namespace {

WallTime at(int second)
{
    return WallTime(seconds(second));
}

ScheduleEntry entry(const std::string &id, std::uint64_t change, Kind kind,
                    const std::string &target, int from, std::optional<int> until = {},
                    bool withdrawn = false)
{
    return {id,       change,   kind,
            target,   at(from), until ? std::optional(at(*until)) : std::nullopt,
            withdrawn};
}

IndexSchedule build(const std::vector<ScheduleEntry> &entries)
{
    Reason reason;
    auto schedule = IndexSchedule::build(entries, reason);
    INFO(reason.text);
    REQUIRE(schedule);
    return *schedule;
}

std::string refusal(const std::vector<ScheduleEntry> &entries)
{
    Reason reason;
    REQUIRE_FALSE(IndexSchedule::build(entries, reason));
    CHECK(reason.code == ResultCode::InvalidMessage);
    return reason.text;
}

} // namespace

TEST_CASE("Schedule entries apply within their time windows", "[version]")
{
    const auto schedule = build({entry("r", 0, Kind::VersionRelease, "7", 100, 200),
                                 entry("s", 0, Kind::BackendServerInService, "b1", 50, 60),
                                 entry("d", 0, Kind::FailureDomainOut, "a", 70, 80)});
    CHECK(schedule.isReleased(7, at(99)) == false);
    CHECK(schedule.isReleased(7, at(100)) == true);
    CHECK(schedule.isReleased(7, at(200)) == false);
    CHECK_FALSE(schedule.isReleased(8, at(100)));
    CHECK_FALSE(schedule.canAcceptNewWork("b1", "c", at(49)));
    CHECK(schedule.canAcceptNewWork("b1", "c", at(50)));
    CHECK_FALSE(schedule.canAcceptNewWork("b1", "c", at(60)));
    CHECK(schedule.canAcceptNewWork("b2", "a", at(69)));
    CHECK_FALSE(schedule.canAcceptNewWork("b2", "a", at(70)));
    CHECK(schedule.canAcceptNewWork("b2", "a", at(80)));
}

TEST_CASE("The order, repetition and earlier changes of entries have no effect", "[version]")
{
    std::vector<ScheduleEntry> entries {
        entry("r", 1, Kind::VersionRelease, "7", 100),
        entry("r", 2, Kind::VersionRelease, "7", 300),
        entry("q", 1, Kind::VersionRelease, "8", 150),
        entry("q", 2, Kind::VersionRelease, "8", 150, {}, true),
        entry("s", 1, Kind::BackendServerInService, "b1", 50, 60, true),
        entry("d", 3, Kind::FailureDomainOut, "a", 70, 80),
        entry("d", 4, Kind::FailureDomainOut, "b", 70, 80),
    };
    for (unsigned seed = 0; seed < 200; ++seed) {
        std::mt19937 random(seed);
        auto shuffled = entries;
        for (std::size_t index = 0; index < entries.size(); ++index) {
            shuffled.push_back(entries[random() % entries.size()]);
        }
        std::shuffle(shuffled.begin(), shuffled.end(), random);
        const auto schedule = build(shuffled);
        CAPTURE(seed);
        CHECK(schedule.isReleased(7, at(299)) == false);
        CHECK(schedule.isReleased(7, at(300)) == true);
        CHECK(schedule.isReleased(8, at(1000)) == false);
        CHECK(schedule.canAcceptNewWork("b1", "a", at(75)));
        CHECK_FALSE(schedule.canAcceptNewWork("b1", "b", at(75)));
        CHECK(schedule.entries().size() == 4);
    }
}

TEST_CASE("An invalid schedule is refused with a text that says what is wrong with its entry",
          "[version]")
{
    CHECK(refusal({entry("x", 1, Kind::VersionRelease, "7", 1),
                   entry("x", 1, Kind::VersionRelease, "7", 2)})
              .find("'x' comes twice")
          != std::string::npos);
    CHECK(refusal({entry("x", 1, Kind::VersionRelease, "seven", 1)}).find("version number")
          != std::string::npos);
    CHECK(refusal({entry("x", 1, Kind::FailureDomainOut, "a", 2, 2)}).find("must end after")
          != std::string::npos);
    CHECK(refusal({entry("", 1, Kind::FailureDomainOut, "a", 2)}).find("no id")
          != std::string::npos);
    CHECK(refusal({entry("x", 1, Kind::FailureDomainOut, "", 2)}).find("no target")
          != std::string::npos);
}
