#include "Pimentoward/Process/ClaimRecord.h"

#include <catch2/catch.hpp>

#include <random>

using namespace pimentoward;

namespace {

ClaimRecord sampleRecord()
{
    ClaimRecord record;
    const WallTime expiry(std::chrono::milliseconds(1'700'000'000'000));
    record.entries["pressing\nkey-1"] = {"token-1", 42, expiry, true, ResultCode::Ok, "[1]"};
    record.entries["pressing\nkey-2"]
        = {"token-2", 43, expiry + std::chrono::hours(1), false, ResultCode::Ok, {}};
    return record;
}

} // namespace

TEST_CASE("A claim record is unchanged by encoding and decoding")
{
    Reason reason;
    const auto decoded = ClaimRecord::decode(sampleRecord().encode(), reason);
    REQUIRE(decoded);
    REQUIRE(decoded->entries.size() == 2);
    const ClaimEntry &first = decoded->entries.at("pressing\nkey-1");
    CHECK(first.token == "token-1");
    CHECK(first.contentHash == 42);
    CHECK(first.isSettled);
    CHECK(first.body == "[1]");
    CHECK(decoded->encode().size() <= decoded->sizeBound());
}

TEST_CASE("Only entries that expired before the limit are dropped from a claim record")
{
    ClaimRecord record = sampleRecord();
    record.dropExpired(WallTime(std::chrono::milliseconds(1'700'000'000'001)));
    CHECK(record.entries.count("pressing\nkey-1") == 0);
    CHECK(record.entries.count("pressing\nkey-2") == 1);
}

TEST_CASE("Corrupted claim records are decoded or refused with InvalidMessage")
{
    constexpr unsigned inputs = 100'000;
    std::mt19937 random(7);
    const std::string original = sampleRecord().encode();
    for (unsigned input = 0; input < inputs; ++input) {
        std::string bytes = original;
        bytes[random() % bytes.size()] = static_cast<char>(random());
        bytes[random() % bytes.size()] = static_cast<char>(random());
        Reason reason;
        if (!ClaimRecord::decode(bytes, reason)) {
            REQUIRE(reason.code == ResultCode::InvalidMessage);
        }
    }
}
