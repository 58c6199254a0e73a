#include "Pimentoward/Discovery/RolloutReportCodec.h"
#include "platform/RecordReader.h"

#include <catch2/catch.hpp>

using namespace pimentoward;
using namespace std::chrono_literals;

TEST_CASE("An order of a roll-out is read, and refused if it names no version or no time")
{
    Reason reason;
    const auto order = platform::readRolloutOrder(
        R"({"service":"s","targetVersion":"v2","durationS":12.5})", reason);
    REQUIRE(order);
    CHECK(order->targetVersion == "v2");
    CHECK(order->duration == 12500ms);
    for (const char *text :
         {"", "[]", R"({"targetVersion":"v2"})", R"({"durationS":12})",
          R"({"targetVersion":"v2","durationS":0})", R"({"targetVersion":"v2","durationS":1e300})",
          R"({"targetVersion":2,"durationS":12})", R"({"targetVersion":"v2","durationS":"12"})"}) {
        CHECK_FALSE(platform::readRolloutOrder(text, reason));
    }
}

TEST_CASE("A status is read as it was written, and holds the words that the operator reads")
{
    Reason reason;
    const RolloutState state
        = GENERATE(RolloutState::Serving, RolloutState::Complete, RolloutState::RolledBack);
    const std::string text = platform::writeRolloutStatus({"v2", state, false});
    const auto status = platform::readRolloutStatus(text, reason);
    REQUIRE(status);
    CHECK(status->state == state);
    CHECK(status->targetVersion == "v2");
    const char *word = state == RolloutState::Serving
        ? "serving"
        : (state == RolloutState::Complete ? "complete" : "rolled_back");
    CHECK(text.find(word) != std::string::npos);
    CHECK_FALSE(platform::readRolloutStatus(R"({"targetVersion":"v2","state":"other"})", reason));
}

TEST_CASE("A report is read as it was written, and refused with wrong counts")
{
    Reason reason;
    RolloutReport report {"s", "v2", {}};
    report.counts["route"] = {{1, 2}, {3, 4}};
    const auto read = decodeRolloutReport(encodeRolloutReport(report), reason);
    REQUIRE(read);
    CHECK(read->service == "s");
    CHECK(read->targetVersion == "v2");
    CHECK(read->counts.at("route").target.bad == 2);
    CHECK(read->counts.at("route").other.good == 3);
    CHECK_FALSE(
        decodeRolloutReport(R"({"service":"s","target":"v2","routes":{"r":[1,2,3]}})", reason));
    CHECK_FALSE(
        decodeRolloutReport(R"({"service":"s","target":"v2","routes":{"r":[1,2,3,-4]}})", reason));
}
