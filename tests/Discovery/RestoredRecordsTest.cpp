#include "Pimentoward/Discovery/DiscoveredRecords.h"

#include "platform/RecordReader.h"

#include <catch2/catch.hpp>

using namespace pimentoward;
using namespace std::chrono_literals;

namespace {

StoreItem settingsItem(int version, Revision revision)
{
    return {"op/config",
            R"({"version":)" + std::to_string(version)
                + R"(,"routes":[{"name":"a","host":"h","pathPrefix":"/","service":"s"}]})",
            revision, 0};
}

StoreItem backendItem(const std::string &id, Revision revision)
{
    return {"servers/" + id,
            R"({"service":"s","address":"10.1.0.9:80","zone":"a","maxConcurrency":3,)"
            R"("state":"ready"})",
            revision, 0};
}

/// Records with what they published last.
struct RecordsFixture
{
    Revision settings = 0;
    std::size_t backends = 0;
    DiscoveredRecords records {
        platform::recordCodec(),
        "vm-1",
        DiscoveredRecords::Settings(),
        {[this](const RouteTablePtr &routes) { settings = routes->revision(); },
         [this](const BackendListPtr &list) { backends = list->size; },
         [](const std::vector<MemberId> &) {}},
        {[](const FeedChooser::Member &) {}, [](const MemberId &) {}}};
};

} // namespace

TEST_CASE("What a restored store lacks stays in force until its writers have written it again")
{
    RecordsFixture fixture;
    SteadyTime now {};
    now += 1h;
    for (const StoreItem &item : {settingsItem(5, 8), backendItem("i-1", 9), backendItem("i-2", 9),
                                  StoreItem {"op/evacuate/b", "", 10, 0}}) {
        fixture.records.onWritten(item, now);
    }
    fixture.records.publish(now);
    CHECK(fixture.backends == 2);
    fixture.records.onWritten({"op/evacuate/a", "", 11, 0}, now);
    fixture.records.publish(now);
    CHECK(fixture.backends == 0);
    // The copy has older settings, no key that takes "a" out of service, and no record of "i-2".
    fixture.records.onRestored();
    fixture.records.onWritten(settingsItem(4, 3), now);
    fixture.records.onRemoved("op/evacuate/a", now);
    fixture.records.onRemoved("servers/i-2", now);
    fixture.records.onListed();
    fixture.records.publish(now + 1s);
    CHECK(fixture.settings == 5);
    CHECK(fixture.backends == 0);
    fixture.records.onWritten({"op/evacuate/a", "", 7, 0}, now);
    fixture.records.onWritten(backendItem("i-2", 8), now);
    fixture.records.onWritten(settingsItem(6, 9), now);
    fixture.records.publish(now + 1min);
    CHECK(fixture.settings == 6);
    CHECK(fixture.backends == 0);
    // The operator puts the failure domain back into service: at once.
    fixture.records.onRemoved("op/evacuate/a", now + 1min);
    fixture.records.publish(now + 1min);
    CHECK(fixture.backends == 2);
}

TEST_CASE("A failure domain whose key is not written again after a restore is put back in time")
{
    RecordsFixture fixture;
    SteadyTime now {};
    now += 1h;
    fixture.records.onWritten(backendItem("i-1", 9), now);
    fixture.records.onWritten({"op/evacuate/a", "", 10, 0}, now);
    fixture.records.publish(now);
    fixture.records.onRestored();
    fixture.records.onRemoved("op/evacuate/a", now);
    fixture.records.onListed();
    fixture.records.publish(now);
    CHECK(fixture.backends == 0);
    REQUIRE(fixture.records.nextChange().has_value());
    fixture.records.publish(*fixture.records.nextChange());
    CHECK(fixture.backends == 1);
}
