#include "Pimentoward/Discovery/FeedMessages.h"
#include "Pimentoward/Discovery/MemberAnnouncement.h"
#include "Pimentoward/Discovery/StoreCopy.h"

#include <catch2/catch.hpp>

#include <random>

using namespace pimentoward;
using namespace std::chrono_literals;

namespace {

FeedPage page()
{
    FeedPage message;
    message.page.revision = 9;
    message.page.hasMore = true;
    message.page.items = {{"a", std::string("\0\xff bytes", 8), 3, 0}, {"b", "", 4, 0}};
    message.freshness.age = 1500ms;
    return message;
}

FeedChanges changes()
{
    FeedChanges message;
    message.changes.revision = 12;
    message.changes.events = {{{"a", "x", 11, 0}, false}, {{"b", "", 12, 0}, true}};
    message.freshness.age = 20ms;
    message.freshness.sinceOutage = 700ms;
    return message;
}

std::string mutated(std::string bytes, std::mt19937 &random)
{
    for (unsigned change = 1 + random() % 3; change > 0; --change) {
        bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    return bytes.substr(0, bytes.size() - random() % 3);
}

} // namespace

TEST_CASE("Decoding a feed message returns the content that was encoded")
{
    Reason reason;
    const auto readPage = decodeFeedPage(encode(page()), reason);
    REQUIRE(readPage.has_value());
    CHECK(readPage->page.revision == 9);
    CHECK(readPage->page.hasMore);
    REQUIRE(readPage->page.items.size() == 2);
    CHECK(readPage->page.items[0].value == page().page.items[0].value);
    CHECK(readPage->page.items[1].revision == 4);
    CHECK(readPage->freshness.age == 1500ms);
    CHECK_FALSE(readPage->freshness.sinceOutage.has_value());
    const auto readChanges = decodeFeedChanges(encode(changes()), reason);
    REQUIRE(readChanges.has_value());
    REQUIRE(readChanges->changes.events.size() == 2);
    CHECK_FALSE(readChanges->changes.events[0].isRemoved);
    CHECK(readChanges->changes.events[1].isRemoved);
    CHECK(*readChanges->freshness.sinceOutage == 700ms);
}

TEST_CASE("Mutated feed messages are decoded or rejected with a reason")
{
    std::mt19937 random(11);
    constexpr int inputs = 100'000;
    const std::string pageBytes = encode(page());
    const std::string changesBytes = encode(changes());
    for (int input = 0; input < inputs; ++input) {
        Reason reason;
        if (!decodeFeedPage(mutated(pageBytes, random), reason)) {
            REQUIRE_FALSE(reason.text.empty());
        }
        reason = {};
        if (!decodeFeedChanges(mutated(changesBytes, random), reason)) {
            REQUIRE_FALSE(reason.text.empty());
        }
    }
}

TEST_CASE(
    "Decoding a VM's record returns the member that was encoded, and any other text is rejected")
{
    const FeedChooser::Member member {"vm-1", "a", {"10.0.0.1", 7395}, 25};
    Reason reason;
    const auto read = decodeMember("vm-1", encodeMember(member), reason);
    REQUIRE(read.has_value());
    CHECK(read->address == member.address);
    CHECK(read->failureDomain == "a");
    CHECK(read->capacity == 25);
    for (const char *text : {"", "{}", "[1]", "{\"address\":1,\"failureDomain\":\"a\"}",
                             "{\"address\":\"x\",\"failureDomain\":\"a\"}"}) {
        CHECK_FALSE(decodeMember("vm-1", text, reason).has_value());
        CHECK_FALSE(reason.text.empty());
    }
}

TEST_CASE(
    "A store copy returns the changes after a revision, or nothing if its history is too short")
{
    StoreCopy::Settings settings;
    settings.historyChanges = 3;
    StoreCopy copy(settings);
    CHECK_FALSE(copy.isComplete());
    copy.onWritten({"a", "1", 1, 0});
    copy.clearHistory(1);
    copy.onCaughtUp(1);
    CHECK(copy.isComplete());
    for (Revision revision = 2; revision <= 6; ++revision) {
        copy.onWritten({"b", std::to_string(revision), revision, 0});
        copy.onCaughtUp(revision);
    }
    copy.onRemoved("a", 7);
    copy.onCaughtUp(7);
    CHECK_FALSE(copy.changes(2).has_value());
    const auto known = copy.changes(5);
    REQUIRE(known.has_value());
    REQUIRE(known->events.size() == 2);
    CHECK(known->events[0].item.value == "6");
    CHECK(known->events[1].isRemoved);
    CHECK(copy.changes(7)->events.empty());
    // A VM whose copy is ahead of this one keeps its own revision.
    CHECK(copy.changes(50)->revision == 50);
    CHECK(copy.range("").items.size() == 1);
}
