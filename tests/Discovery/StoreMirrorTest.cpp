#include "Pimentoward/Discovery/StoreMirror.h"

#include "standins/KeyValueModel.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>

using namespace pimentoward;
using namespace pimentoward::standins;
using namespace std::chrono_literals;

namespace {

/// A mirror with a copy that is kept as its owner keeps it.
struct MirrorFake
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
    MirrorFake fake;
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
            fake.mirror.nextStep();
            fake.mirror.onFailed({StoreError::Unanswered, ""});
            break;
        case 3:
            if (random() % 10 == 0) {
                store.dropHistory();
            }
            break;
        default:
            fake.step(store);
        }
    }
    constexpr int settleSteps = 40;
    for (int step = 0; step < settleSteps; ++step) {
        fake.step(store);
    }
    return fake.copy == contentOf(store);
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
    MirrorFake fake;
    Duration longest {};
    for (int failure = 0; failure < 10; ++failure) {
        CHECK(std::holds_alternative<StoreMirror::List>(fake.mirror.nextStep()));
        fake.mirror.onFailed({StoreError::Refused, ""});
        const StoreMirror::Step step = fake.mirror.nextStep();
        REQUIRE(std::holds_alternative<StoreMirror::Pause>(step));
        longest = std::max(longest, std::get<StoreMirror::Pause>(step).time);
    }
    CHECK(fake.outages == 10);
    CHECK(longest <= StoreMirror::Settings().maxBackoff * 3 / 2);
    CHECK(longest >= StoreMirror::Settings().maxBackoff / 2);
}

TEST_CASE("Many changes within a short time are fetched together, not with one call each")
{
    KeyValueModel store({});
    MirrorFake fake;
    fake.step(store);
    unsigned watches = 0;
    for (int change = 0; change < 100; ++change) {
        store.put("servers/" + std::to_string(change), "x");
        if (std::holds_alternative<StoreMirror::Watch>(fake.mirror.nextStep())) {
            ++watches;
            fake.mirror.onChanges(*store.changes("", fake.mirror.revision()));
        }
    }
    // Every second step is a pause, during which further changes accumulate.
    CHECK(watches <= 50);
    fake.step(store);
    fake.step(store);
    CHECK(fake.copy == contentOf(store));
}
