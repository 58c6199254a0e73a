#include "Pimentoward/Discovery/StoreMirror.h"

#include "standins/KeyValueModel.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>

using namespace pimentoward;
using namespace pimentoward::standins;
using namespace std::chrono_literals;

namespace {

/// A mirror whose hooks keep a copy of the store, as Discovery does.
struct MirrorFixture
{
    std::map<std::string, std::string> copy;
    unsigned outages = 0;
    StoreMirror mirror {StoreMirror::Settings(),
                        {[this](const StoreItem &item) { copy[item.key] = item.value; },
                         [this](const std::string &key, Revision) { copy.erase(key); },
                         [this] { ++outages; }, [](bool) {}}};

    /// Executes one step of the mirror against the store.
    void step(KeyValueModel &store)
    {
        const StoreMirror::Step step = mirror.nextStep();
        if (const auto *list = std::get_if<StoreMirror::List>(&step)) {
            mirror.onPage(store.range("", list->after));
        } else if (const auto *watch = std::get_if<StoreMirror::Watch>(&step)) {
            if (const auto changes = store.changes("", watch->after)) {
                mirror.onChanges(*changes);
            } else {
                mirror.onFailed({StoreError::HistoryGone, ""});
            }
        }
    }
};

std::map<std::string, std::string> contentOf(const KeyValueModel &store)
{
    std::map<std::string, std::string> content;
    StorePage page;
    do {
        page = store.range("", page.items.empty() ? "" : page.items.back().key);
        for (const StoreItem &item : page.items) {
            content[item.key] = item.value;
        }
    } while (page.hasMore);
    return content;
}

/// Runs a mirror through random changes, lost answers and dropped history. Returns true if its copy
/// matches the store after the faults have ended.
bool matchesStoreAfterFaults(unsigned seed)
{
    std::mt19937 random(seed);
    KeyValueModel::Settings settings;
    settings.pageItems = 3;
    KeyValueModel store(settings);
    MirrorFixture fixture;
    for (int round = 0; round < 300; ++round) {
        const std::string key = "k" + std::to_string(random() % 20);
        switch (random() % 6) {
        case 0:
            store.remove(key);
            break;
        case 1:
            store.put(key, std::to_string(round));
            break;
        case 2:
            fixture.mirror.nextStep();
            fixture.mirror.onFailed({StoreError::Unanswered, ""});
            break;
        case 3:
            if (random() % 10 == 0) {
                store.dropHistory();
            }
            break;
        default:
            fixture.step(store);
        }
    }
    constexpr int settleSteps = 40;
    for (int step = 0; step < settleSteps; ++step) {
        fixture.step(store);
    }
    return fixture.copy == contentOf(store);
}

} // namespace

TEST_CASE("A mirror matches the store after random changes, failures and loss of history")
{
    for (unsigned seed = 1; seed <= 500; ++seed) {
        CAPTURE(seed);
        REQUIRE(matchesStoreAfterFaults(seed));
    }
}

TEST_CASE("A mirror pauses longer after repeated failures, up to the maximum, and keeps retrying")
{
    MirrorFixture fixture;
    Duration maxPause {};
    for (int failure = 0; failure < 10; ++failure) {
        CHECK(std::holds_alternative<StoreMirror::List>(fixture.mirror.nextStep()));
        fixture.mirror.onFailed({StoreError::Refused, ""});
        const StoreMirror::Step step = fixture.mirror.nextStep();
        REQUIRE(std::holds_alternative<StoreMirror::Pause>(step));
        maxPause = std::max(maxPause, std::get<StoreMirror::Pause>(step).time);
    }
    CHECK(fixture.outages == 10);
    CHECK(maxPause <= StoreMirror::Settings().maxBackoff * 3 / 2);
    CHECK(maxPause >= StoreMirror::Settings().maxBackoff / 2);
}

TEST_CASE("Many changes within a short time are fetched together, not with one call each")
{
    KeyValueModel store({});
    MirrorFixture fixture;
    fixture.step(store);
    unsigned watches = 0;
    for (int change = 0; change < 100; ++change) {
        store.put("servers/" + std::to_string(change), "x");
        if (std::holds_alternative<StoreMirror::Watch>(fixture.mirror.nextStep())) {
            ++watches;
            fixture.mirror.onChanges(*store.changes("", fixture.mirror.revision()));
        }
    }
    // Every second step is a pause, during which further changes accumulate.
    CHECK(watches <= 50);
    fixture.step(store);
    fixture.step(store);
    CHECK(fixture.copy == contentOf(store));
}
