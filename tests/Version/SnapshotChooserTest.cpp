#include "Pimentoward/Version/SnapshotChooser.h"
#include "tests/support/QueryPlans.h"

#include <catch2/catch.hpp>

#include <random>
#include <set>

using namespace pimentoward;

namespace {

const WallTime now {std::chrono::hours(1)};

ServiceCatalog threeVersions()
{
    ServiceCatalog catalog;
    catalog.name = "service";
    for (IndexVersion version = 1; version <= 3; ++version) {
        tests::addVersion(catalog, version, 2 + version, now - std::chrono::seconds(1));
    }
    return catalog;
}

IndexVersion chosenVersion(const ServiceCatalog &catalog, const SnapshotChooser::Query &query,
                           const std::set<std::pair<BackendServerId, IndexVersion>> &missing = {})
{
    const auto *entry = SnapshotChooser::choose(
        catalog, query, [&](const BackendServerId &id, IndexVersion version) {
            return missing.count({id, version}) == 0;
        });
    return entry == nullptr ? 0 : entry->version;
}

} // namespace

TEST_CASE("The newest released version that all shards serve is pinned", "[version]")
{
    ServiceCatalog catalog = threeVersions();
    CHECK(chosenVersion(catalog, {now, {}, {}}) == 3);
    CHECK(chosenVersion(catalog, {now, {}, {3}}) == 2);
    CHECK(chosenVersion(catalog, {now - std::chrono::seconds(2), {}, {}}) == 0);
    // A shard is served if at least one of its replicas serves the version.
    CHECK(chosenVersion(catalog, {now, {}, {}}, {{"s0-0", 3}}) == 3);
    CHECK(chosenVersion(catalog, {now, {}, {}}, {{"s0-0", 3}, {"s0-1", 3}}) == 2);
    catalog.versions[2].withdrawn = true;
    CHECK(chosenVersion(catalog, {now, {}, {}}) == 2);
}

TEST_CASE("If no version is served completely, the one with the highest coverage is pinned",
          "[version]")
{
    const ServiceCatalog catalog = threeVersions();
    // Versions 1, 2 and 3 have three, four and five equal shards.
    const std::set<std::pair<BackendServerId, IndexVersion>> oneShardMissingEach {
        {"s0-0", 1}, {"s0-1", 1}, {"s0-0", 2}, {"s0-1", 2}, {"s0-0", 3}, {"s0-1", 3}};
    CHECK(chosenVersion(catalog, {now, {}, {}}, oneShardMissingEach) == 3);
    auto twoShardsMissingOfVersion3 = oneShardMissingEach;
    twoShardsMissingOfVersion3.insert({{"s1-0", 3}, {"s1-1", 3}});
    CHECK(chosenVersion(catalog, {now, {}, {}}, twoShardsMissingOfVersion3) == 2);
    // A lookup in the last shard needs no other shard.
    CHECK(chosenVersion(catalog, {now, KeyRange::keySpaceSize - 1, {}}, twoShardsMissingOfVersion3)
          == 3);
}

TEST_CASE("A scheduled release takes precedence over the version's own release time", "[version]")
{
    ServiceCatalog catalog = threeVersions();
    Reason reason;
    ScheduleEntry release {
        "r", 1, ScheduleEntry::Kind::VersionRelease, "3", now + std::chrono::seconds(5), {}, false};
    catalog.schedule = IndexSchedule::build({release}, reason).value();
    CHECK(chosenVersion(catalog, {now, {}, {}}) == 2);
    CHECK(chosenVersion(catalog, {now + std::chrono::seconds(5), {}, {}}) == 3);
    release.withdrawn = true;
    release.change = 2;
    catalog.schedule = IndexSchedule::build({release}, reason).value();
    CHECK(chosenVersion(catalog, {now + std::chrono::seconds(5), {}, {}}) == 2);
    Reason parseReason;
    const auto reparsed = ServiceCatalog::parse(catalog.toJson(), parseReason);
    INFO(parseReason.text);
    REQUIRE(reparsed);
    CHECK(reparsed->schedule.entries() == catalog.schedule.entries());
    CHECK(reparsed->toJson() == catalog.toJson());
}

TEST_CASE("Mutated service descriptions are parsed or refused with a reason, without a crash",
          "[version]")
{
    ServiceCatalog catalog;
    catalog.name = "service";
    tests::addVersion(catalog, 1, 1, now);
    Reason reason;
    catalog.schedule
        = IndexSchedule::build({{"r", 1, ScheduleEntry::Kind::VersionRelease, "3", now, {}, false},
                                {"d", 1, ScheduleEntry::Kind::FailureDomainOut, "a", now,
                                 now + std::chrono::hours(1), true}},
                               reason)
              .value();
    const std::string valid = catalog.toJson();
    std::mt19937 random(5);
    constexpr int inputs = 100'000;
    int accepted = 0;
    for (int input = 0; input < inputs; ++input) {
        const std::string text = tests::mutated(valid, random);
        Reason parseReason;
        if (const auto parsed = ServiceCatalog::parse(text, parseReason)) {
            ++accepted;
            // A description that was parsed can be written and parsed again.
            if (accepted % 64 == 0) {
                REQUIRE(ServiceCatalog::parse(parsed->toJson(), parseReason));
            }
        } else if (parseReason.code != ResultCode::InvalidMessage || parseReason.text.empty()) {
            FAIL(text);
        }
    }
    CHECK(accepted < inputs / 2);
}
