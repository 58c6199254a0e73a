#include "Pimentoward/Process/OperatorSettings.h"
#include "Pimentoward/Process/SettingsChange.h"

#include <catch2/catch.hpp>

#include <random>

using namespace pimentoward;

namespace {

constexpr unsigned inputs = 100'000;

std::string mutated(std::string bytes, std::mt19937 &random)
{
    const unsigned changes = 1 + random() % 3;
    for (unsigned change = 0; change < changes; ++change) {
        bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    if (random() % 8 == 0) {
        bytes.resize(random() % bytes.size());
    }
    return bytes;
}

SettingsChange sampleChange()
{
    SettingsChange change;
    change.kind = SettingsChangeKind::AddException;
    change.changeId = "id";
    change.setting = operator_settings::hedgeBudget;
    change.value = "7";
    change.target = "coach-app";
    change.reason = "trial";
    return change;
}

} // namespace

TEST_CASE("A mutated settings document is parsed completely or refused", "[settings]")
{
    Reason reason;
    const auto document = sampleChange().applyTo({}, {}, reason);
    REQUIRE(document);
    const std::string original = document->toJson();
    std::mt19937 random(20261204);
    unsigned rejected = 0;
    for (unsigned input = 0; input < inputs; ++input) {
        const auto read = SettingsDocument::parse(mutated(original, random), reason);
        if (!read) {
            ++rejected;
            REQUIRE(reason.code == ResultCode::InvalidSetting);
        } else {
            REQUIRE(SettingsDocument::parse(read->toJson(), reason));
        }
    }
    CHECK(rejected > inputs / 4);
}

TEST_CASE("A mutated change is parsed completely or refused", "[settings]")
{
    const std::string original = sampleChange().toJson();
    std::mt19937 random(20261205);
    unsigned rejected = 0;
    for (unsigned input = 0; input < inputs; ++input) {
        Reason reason;
        const auto read = SettingsChange::parse(mutated(original, random), reason);
        if (!read) {
            ++rejected;
            REQUIRE(static_cast<int>(reason.code) >= 100);
        } else if (const auto next = read->applyTo({}, {}, reason)) {
            REQUIRE(SettingsDocument::parse(next->toJson(), reason));
        }
    }
    CHECK(rejected > inputs / 4);
}
