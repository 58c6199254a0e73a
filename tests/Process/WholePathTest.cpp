#include "tests/support/TestDeployment.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

using namespace pimentoward;

namespace {

using Json = nlohmann::json;

std::vector<std::string> sortedIds(const Json &records)
{
    std::vector<std::string> ids;
    for (const Json &record : records) {
        ids.push_back(record.at("id").get<std::string>());
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

/// Returns the IDs of the records that a scan of all records finds for a query body.
std::vector<std::string> scannedIds(const standins::ServiceSpec &serviceSpec, const Json &body)
{
    const auto recordSet = standins::RecordSet::ofKind(serviceSpec.recordKind, serviceSpec.seed,
                                                       serviceSpec.records);
    return sortedIds(recordSet.scan(body, {0, KeyRange::keySpaceSize}, 1));
}

} // namespace

TEST_CASE("A query at any VM returns the same records as a plain scan", "[task]")
{
    tests::TestDeployment deployment(3);
    REQUIRE(deployment.waitUntilReady());
    for (std::size_t vm = 0; vm < 3; ++vm) {
        const std::string child = "child-00010" + std::to_string(vm);
        const Json lookup {{"service", "coach-app"}, {"key", child}, {"deadlineMs", 20000}};
        const Json answer = Json::parse(deployment.query(vm, lookup.dump()).body);
        CHECK(answer.at("code") == 0);
        CHECK(sortedIds(answer.at("records"))
              == scannedIds(deployment.serviceSpec(), {{"key", child}}));

        const Json search {{"service", "coach-app"},
                           {"field", "badge"},
                           {"value", "Otter"},
                           {"deadlineMs", 20000}};
        const Json found = Json::parse(deployment.query(vm, search.dump()).body);
        CHECK(found.at("coverage") == 1.0);
        CHECK(sortedIds(found.at("records"))
              == scannedIds(deployment.serviceSpec(), {{"field", "badge"}, {"value", "Otter"}}));
    }
}

TEST_CASE("An invalid query is refused with a result code", "[task]")
{
    tests::TestDeployment deployment(1);
    REQUIRE(deployment.waitUntilReady());
    const auto codeOf = [&](const std::string &body) {
        return Json::parse(deployment.query(0, body).body).at("code").get<int>();
    };
    CHECK(codeOf("{") == static_cast<int>(ResultCode::MalformedRequest));
    CHECK(codeOf("[1]") == static_cast<int>(ResultCode::MalformedRequest));
    CHECK(codeOf("{\"service\":\"coach-app\"}") == static_cast<int>(ResultCode::MissingField));
    CHECK(codeOf(R"({"service":"none","key":"k"})")
          == static_cast<int>(ResultCode::UnknownService));
    CHECK(codeOf(R"({"service":"coach-app","key":"k","deadlineMs":-1})")
          == static_cast<int>(ResultCode::InvalidDeadline));
}

TEST_CASE("An order runs once, and its idempotency key returns the recorded outcome at every VM",
          "[task]")
{
    tests::TestDeployment deployment(3);
    REQUIRE(deployment.waitUntilReady());
    const auto expiry = std::chrono::system_clock::now() + std::chrono::hours(1);
    Json order {
        {"service", "coach-app"},
        {"key", "child-000001"},
        {"idempotencyKey", "print-1"},
        {"content", {{"badge", "Otter"}}},
        {"deadlineMs", 20000},
        {"expiresAtMs",
         std::chrono::duration_cast<std::chrono::milliseconds>(expiry.time_since_epoch()).count()}};
    const auto codeAt = [&](std::size_t vm) {
        return Json::parse(deployment.order(vm, order.dump()).body).at("code").get<int>();
    };
    CHECK(codeAt(0) == static_cast<int>(ResultCode::Ok));
    // The outcome is recorded shortly after the answer. Until then, requests with the same key are
    // answered with MayHaveRun.
    int secondCode = codeAt(1);
    while (secondCode == static_cast<int>(ResultCode::MayHaveRun)) {
        secondCode = codeAt(1);
    }
    CHECK(secondCode == static_cast<int>(ResultCode::RecordedOutcome));
    CHECK(codeAt(2) == static_cast<int>(ResultCode::RecordedOutcome));
    order["content"]["badge"] = "Whale";
    CHECK(codeAt(1) == static_cast<int>(ResultCode::KeyConflict));
    order["expiresAtMs"] = 1;
    CHECK(codeAt(1) == static_cast<int>(ResultCode::KeyExpired));
}
