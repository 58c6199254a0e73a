#include "Pimentoward/Request/Messages.h"

#include <catch2/catch.hpp>

#include <random>

using namespace pimentoward;

namespace {

SubrequestBatch sampleBatch()
{
    SubrequestBatch batch;
    batch.requestId = "vm-1-1";
    batch.coordinator = "vm-1";
    batch.service = "coach-app";
    batch.version = 3;
    batch.requestClass = RequestClass::Evening;
    batch.timeLeft = std::chrono::milliseconds(250);
    batch.body = "{\"key\":\"child\"}";
    batch.items = {{1, "s0", "s0-1"}, {2, "s1", "s1-0"}};
    return batch;
}

} // namespace

TEST_CASE("A peer message is the same after encoding and decoding")
{
    Reason reason;
    const auto decoded = decodePeerMessage(encodePeerMessage(sampleBatch()), reason);
    REQUIRE(decoded);
    const auto &batch = std::get<SubrequestBatch>(*decoded);
    CHECK(batch.requestId == "vm-1-1");
    CHECK(batch.requestClass == RequestClass::Evening);
    CHECK(batch.timeLeft == std::chrono::milliseconds(250));
    CHECK(batch.body == "{\"key\":\"child\"}");
    REQUIRE(batch.items.size() == 2);
    CHECK(batch.items[1].backendServer == "s1-0");
}

TEST_CASE("A mutated peer message is either decoded or refused as invalid")
{
    constexpr unsigned inputs = 100'000;
    std::mt19937 random(20261204);
    const std::string original = encodePeerMessage(sampleBatch());
    unsigned refused = 0;
    for (unsigned input = 0; input < inputs; ++input) {
        std::string bytes = original;
        const unsigned changes = 1 + random() % 4;
        for (unsigned change = 0; change < changes; ++change) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        if (random() % 4 == 0) {
            bytes.resize(random() % bytes.size());
        }
        Reason reason;
        if (!decodePeerMessage(bytes, reason)) {
            ++refused;
            REQUIRE(reason.code == ResultCode::InvalidMessage);
        }
    }
    CHECK(refused > inputs / 4);
}

TEST_CASE("Times and durations outside their range are refused")
{
    const auto isRefused = [](const PeerMessage &message) {
        Reason reason;
        return !decodePeerMessage(encodePeerMessage(message), reason)
            && reason.code == ResultCode::InvalidMessage;
    };
    ClaimRequest claim;
    claim.timeLeft = std::chrono::milliseconds(100);
    CHECK_FALSE(isRefused(claim));
    claim.expiry = WallTime(std::chrono::hours(24 * 365 * 200));
    CHECK(isRefused(claim));
    claim.expiry = WallTime(std::chrono::milliseconds(-1));
    CHECK(isRefused(claim));
    SubrequestBatch batch = sampleBatch();
    batch.timeLeft = std::chrono::hours(25);
    CHECK(isRefused(batch));
    // A batch that is sent just after its deadline is encoded with no time left, so that it is
    // decoded and answered instead of being refused as invalid.
    batch.timeLeft = std::chrono::milliseconds(-1);
    CHECK_FALSE(isRefused(batch));
}
