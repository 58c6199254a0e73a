#include "platform/RecordReader.h"

#include <catch2/catch.hpp>

#include <random>

using namespace pimentoward;
using namespace std::chrono_literals;

namespace {

const std::string backendText
    = R"({"service":"s","address":"10.1.0.9:8080","zone":"a","version":"v1","maxConcurrency":3,)"
      R"("state":"ready","coldLeftMs":1500,"sequence":4,"born":1777761266035,"new":{}})";

const std::string routesText
    = R"({"version":7,"routes":[{"name":"f","host":"h","pathPrefix":"/a/","type":"idempotent",)"
      R"("timeoutMs":800,"targetLatencyMs":100,"priority":2,"fanout":["s1","s2"],"maxAttempts":2,)"
      R"("topK":5,"minShardRatio":0.75},{"name":"w","host":"h","pathPrefix":"/b/",)"
      R"("type":"non_idempotent","timeoutMs":8000,"weightedSplit":[{"service":"x","weight":3},)"
      R"({"service":"y","weight":0}],"maxAttempts":2}],"services":[{"name":"s1","maxConns":31,)"
      R"("coldStartS":3.0,"coldPerS":1.5,"healthPath":"/health"}],"limits":{"maxHeaderBytes":100,)"
      R"("maxBodyBytes":200,"headerTimeoutMs":300,"idleTimeoutMs":400}})";

std::string mutated(std::string text, std::mt19937 &random)
{
    for (unsigned change = 1 + random() % 3; change > 0; --change) {
        text[random() % text.size()] = static_cast<char>(random());
    }
    return text;
}

} // namespace

TEST_CASE("All used fields of a backend server's record are read")
{
    Reason reason;
    const auto record = platform::readBackend("i-1", backendText, reason);
    REQUIRE(record.has_value());
    CHECK(record->id == "i-1");
    CHECK(record->service == "s");
    CHECK(record->address.toString() == "10.1.0.9:8080");
    CHECK(record->failureDomain == "a");
    CHECK(record->slots == 3);
    CHECK(record->coldLeft == 1500ms);
    CHECK(record->incarnation == 1777761266035);
    CHECK_FALSE(record->isLeaving);
}

TEST_CASE("All used fields of the operators' settings are read")
{
    Reason reason;
    const RouteTablePtr table = platform::readRoutes(routesText, reason);
    REQUIRE(table != nullptr);
    CHECK(table->revision() == 7);
    const Route *fanout = table->find("h", "/a/x");
    REQUIRE(fanout != nullptr);
    CHECK(fanout->isFanout());
    CHECK(fanout->isIdempotent);
    CHECK(fanout->timeout == 800ms);
    CHECK(fanout->latencyObjective == 100ms);
    CHECK(fanout->priority == 2);
    CHECK(fanout->topRecords == 5);
    CHECK(fanout->minCoverage == 0.75);
    const Route *weighted = table->find("h", "/b/");
    REQUIRE(weighted != nullptr);
    CHECK_FALSE(weighted->isIdempotent);
    REQUIRE(weighted->split.size() == 1);
    CHECK(weighted->split.front().service == "x");
    REQUIRE(table->service("s1") != nullptr);
    CHECK(table->service("s1")->maxConnections == 31);
    CHECK(table->service("s1")->coldRequestsPerSecond == 1.5);
    CHECK(table->service("s1")->healthPath == "/health");
    CHECK(table->limits().headBytes == 100);
    CHECK(table->limits().bodyBytes == 200);
    CHECK(table->limits().idleTimeout == 400ms);
}

TEST_CASE("Mutated records and settings are read or rejected with a reason")
{
    std::mt19937 random(5);
    constexpr int inputs = 100'000;
    for (int input = 0; input < inputs; ++input) {
        Reason reason;
        if (!platform::readBackend("i-1", mutated(backendText, random), reason)) {
            REQUIRE_FALSE(reason.text.empty());
        }
    }
    for (int input = 0; input < inputs; ++input) {
        Reason reason;
        if (!platform::readRoutes(mutated(routesText, random), reason)) {
            REQUIRE_FALSE(reason.text.empty());
        }
    }
}

TEST_CASE("A backend server's record whose ID or names cannot be written into a line is rejected")
{
    const auto odd = GENERATE(as<std::string> {}, "i-1\r\n", "i-1\nX-Tenant: a", "i 1", "",
                              "i-1\x7f", "i-\xc3\xbc", "i-\xff", std::string("i\0", 2));
    Reason reason;
    CHECK_FALSE(platform::readBackend(odd, backendText, reason).has_value());
    CHECK_FALSE(reason.text.empty());
    for (const char *field : {R"("service":"s)", R"("zone":"a)"}) {
        std::string text = backendText;
        text.insert(text.find(field) + std::string(field).size(), R"(\r\n)");
        CHECK_FALSE(platform::readBackend("i-1", text, reason).has_value());
    }
}

TEST_CASE("An odd text in the settings leaves all other routes in force")
{
    const auto odd = GENERATE(as<std::string> {}, R"("\ud83d")", "\"\xff\"", "1e999",
                              std::string(1000, '[') + std::string(1000, ']'));
    const auto field = GENERATE(as<std::string> {}, R"("new":)", R"("name":)");
    std::string text = routesText;
    text.insert(text.find("{\"name\":\"w\"") + 1, field + odd + ",");
    Reason reason;
    const RouteTablePtr table = platform::readRoutes(text, reason);
    REQUIRE(table != nullptr);
    CHECK(table->find("h", "/a/x") != nullptr);
    CHECK(table->find("h", "/b/x") != nullptr);
}

TEST_CASE("The reason for refusing settings repeats no control characters from them")
{
    Reason reason;
    CHECK(platform::readRoutes(R"({"version":1,"routes":[{"name":"a\r\nlevel=ERROR"}]})", reason)
          == nullptr);
    CHECK(reason.text.find('\n') == std::string::npos);
}
