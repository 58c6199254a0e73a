#include "Pimentoward/Discovery/FeedClient.h"
#include "Pimentoward/Discovery/FeedServer.h"
#include "Pimentoward/Discovery/Registration.h"
#include "Pimentoward/Discovery/StoreMirror.h"

#include "Pimentoward/Core/BoundedJson.h"
#include "Pimentoward/Core/Compression.h"
#include "Pimentoward/Core/SystemClock.h"
#include "standins/KeyValueModel.h"
#include "tests/support/LoopbackHost.h"
#include "tests/support/ScriptedServer.h"
#include "tests/support/TestLoop.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>

using namespace pimentoward;
using namespace pimentoward::standins;
using namespace std::chrono_literals;

namespace {

/// A mirror with a copy of what it reports.
struct MirrorFixture
{
    std::map<std::string, std::string> copy;
    std::vector<StoreEra> restores;
    StoreMirror mirror {StoreMirror::Settings(),
                        {[this](const StoreItem &item) { copy[item.key] = item.value; },
                         [this](const std::string &key, Revision) { copy.erase(key); }, [] {},
                         [](bool) {},
                         [this](StoreEra era, bool isRestored) {
                             if (isRestored) {
                                 restores.push_back(era);
                             }
                         }}};

    /// Executes one step of the mirror. An answer of an earlier position is reported as failed, as
    /// Discovery does.
    void step(const KeyValueModel &store)
    {
        const StoreMirror::Step step = mirror.nextStep();
        if (const auto *list = std::get_if<StoreMirror::List>(&step)) {
            const StorePage page = store.range("", list->after);
            if (StorePosition {page.era, page.revision} < mirror.position()) {
                mirror.onFailed({StoreError::Malformed, ""});
            } else {
                mirror.onPage(page);
            }
        } else if (const auto *watch = std::get_if<StoreMirror::Watch>(&step)) {
            const auto changes = store.changes("", watch->after);
            if (!changes) {
                mirror.onFailed({StoreError::HistoryGone, ""});
            } else if (StorePosition {changes->era, changes->revision} < mirror.position()) {
                mirror.onFailed({StoreError::Malformed, ""});
            } else {
                mirror.onChanges(*changes);
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

bool matchesStoreAfterRestores(unsigned seed)
{
    std::mt19937 random(seed);
    KeyValueModel::Settings settings;
    settings.pageItems = 3;
    KeyValueModel store(settings);
    KeyValueModel saved = store;
    MirrorFixture fixture;
    for (int round = 0; round < 300; ++round) {
        const std::string key = "k" + std::to_string(random() % 20);
        switch (random() % 8) {
        case 0:
            store.remove(key);
            break;
        case 1:
            store.put(key, std::to_string(round));
            break;
        case 2:
            if (random() % 4 == 0) {
                saved = store;
            }
            break;
        case 3:
            if (random() % 4 == 0) {
                store.restore(saved);
            }
            break;
        case 4:
            fixture.mirror.nextStep();
            fixture.mirror.onFailed({StoreError::Unanswered, ""});
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

/// A store that counts and answers calls for a registration, after restores as the test sets them.
class LeaseStore final : public KeyValueStore
{
public:
    explicit LeaseStore(event_base *loop)
        : m_loop(loop)
    { }

    void range(const std::string &, const std::string &, Hook<StorePage>) override { }
    void watch(const std::string &, Revision, Duration, Hook<StoreChanges>) override { }
    void transact(const StoreTransaction &transaction, Hook<Revision> done) override
    {
        ++writes;
        StoreError error = StoreError::Unanswered;
        const auto revision = model.transact(transaction, error);
        answer([=] { done(revision, {error, "write"}); });
    }
    void grantLease(Duration timeToLive, Hook<StoreLease> done) override
    {
        const StoreLease lease = model.grantLease(timeToLive, {});
        answer([=] { done(lease, {}); });
    }
    void renewLease(LeaseId lease, Hook<LeaseId> done) override
    {
        const bool isRenewed = model.renewLease(lease, {});
        answer([=] {
            done(isRenewed ? std::optional(lease) : std::nullopt,
                 {StoreError::NotFound, "renewal"});
        });
    }
    void endLease(LeaseId, Hook<LeaseId>) override { }
    std::uint64_t calls() const override { return 0; }

    KeyValueModel model {KeyValueModel::Settings()};
    unsigned writes = 0;

private:
    /// Answers after the call has returned.
    void answer(std::function<void()> hook)
    {
        m_timers.push_back(std::make_unique<Timer>(m_loop, std::move(hook)));
        m_timers.back()->startOnce(Duration::zero());
    }

    event_base *m_loop;
    std::vector<std::unique_ptr<Timer>> m_timers;
};

Registration::Settings registrationSettings()
{
    Registration::Settings settings;
    settings.key = "tier/members/vm-1";
    settings.value = "x";
    settings.renewPeriod = 20ms;
    settings.retryDelay = 5ms;
    return settings;
}

FeedPage feedPage(StoreEra era)
{
    FeedPage message;
    message.page.items = {{"a", "x", 3, 0}};
    message.page.revision = 3;
    message.page.era = era;
    return message;
}

} // namespace

TEST_CASE("A mirror matches a store that comes back from copies of itself, at any moment")
{
    for (unsigned seed = 1; seed <= 500; ++seed) {
        CAPTURE(seed);
        REQUIRE(matchesStoreAfterRestores(seed));
    }
}

TEST_CASE("A mirror lists a restored store again although its revisions have caught up")
{
    KeyValueModel store({});
    MirrorFixture fixture;
    store.put("kept", "1");
    const KeyValueModel saved = store;
    store.put("kept", "2");
    store.put("lost", "1");
    fixture.step(store);
    store.restore(saved);
    // The revisions that the lost changes had are given out again.
    store.put("other", "1");
    store.put("other", "2");
    store.put("other", "3");
    for (int step = 0; step < 4; ++step) {
        fixture.step(store);
    }
    CHECK(fixture.copy == contentOf(store));
    CHECK(fixture.restores == std::vector<StoreEra> {1});
}

TEST_CASE("Two restores while a listing is under way end in the content of the second")
{
    KeyValueModel::Settings settings;
    settings.pageItems = 2;
    KeyValueModel store(settings);
    MirrorFixture fixture;
    for (const char *key : {"a", "b", "c", "d", "e"}) {
        store.put(key, "1");
    }
    const KeyValueModel saved = store;
    store.put("f", "1");
    for (int step = 0; step < 4; ++step) {
        fixture.step(store);
    }
    store.restore(saved);
    fixture.step(store);
    fixture.step(store);
    store.remove("a");
    store.restore(saved);
    for (int step = 0; step < 8; ++step) {
        fixture.step(store);
    }
    CHECK(fixture.copy == contentOf(store));
    CHECK(fixture.mirror.position() == StorePosition {2, saved.revision()});
}

TEST_CASE("A VM writes its record again, once, under a new lease after the store was restored")
{
    const LoopPtr loop = newLoop();
    LeaseStore store(loop.get());
    const KeyValueModel saved = store.model;
    Registration registration(loop.get(), store, registrationSettings());
    registration.start();
    runLoop(loop.get(), 1s, [&] { return store.writes == 1; });
    runLoop(loop.get(), 10ms);
    store.model.restore(saved);
    // The number of the lost lease is given out again, to someone else.
    const StoreLease other = store.model.grantLease(1s, {});
    registration.onEra(1);
    runLoop(loop.get(), 100ms);
    // The listing of the restored store lacked the record; it was read before the second write.
    registration.onKeyRemoved({1, saved.revision()});
    runLoop(loop.get(), 100ms);
    CHECK(store.writes == 2);
    const StoreItem *item = store.model.read("tier/members/vm-1");
    REQUIRE(item != nullptr);
    CHECK(item->lease != other.id);
    // A removal after the write is answered by another one.
    registration.onKeyRemoved({1, item->revision + 1});
    runLoop(loop.get(), 100ms);
    CHECK(store.writes == 3);
}

TEST_CASE("Messages between VMs state the era, and without one they are as before")
{
    Reason reason;
    CHECK(decodeFeedPage(encode(feedPage(7)), reason)->page.era == 7);
    CHECK(decodeFeedPage(encode(feedPage(0)), reason)->page.era == 0);
    constexpr std::size_t maxBytes = 10000;
    const auto message = parseCbor(*decompress(encode(feedPage(0)), maxBytes));
    CHECK(message.size() == 4);
    CHECK_FALSE(message.contains("era"));
    FeedChanges changes;
    changes.changes.era = 7;
    CHECK(decodeFeedChanges(encode(changes), reason)->changes.era == 7);
}

TEST_CASE("A VM's watch is answered with 410 when the store is restored, and serves the new era")
{
    const LoopPtr loop = newLoop();
    const SystemClock clock;
    StoreCopy copy;
    FeedServer server(loop.get(), clock, copy, [] { return FeedFreshness(); });
    const Address address = unusedAddress();
    Reason reason;
    REQUIRE(server.listen(address, reason));
    copy.startEra(1);
    copy.onWritten({"a", "x", 50, 0});
    copy.clearHistory(50);
    copy.onCaughtUp(50);
    FeedClient client(loop.get());
    std::vector<std::optional<StoreError>> results;
    const auto watch = [&](const StorePosition &after) {
        client.watch(address, after, 2s,
                     [&](const std::optional<FeedChanges> &changes, const StoreFailure &failure) {
                         results.push_back(changes ? std::nullopt : std::optional(failure.error));
                     });
    };
    watch({1, 50});
    runLoop(loop.get(), 100ms);
    CHECK(results.empty());
    copy.startEra(2);
    server.onChanged();
    runLoop(loop.get(), 1s, [&] { return results.size() == 1; });
    // Until the copy is complete again, the VM serves nothing.
    watch({1, 50});
    runLoop(loop.get(), 1s, [&] { return results.size() == 2; });
    copy.onWritten({"a", "y", 20, 0});
    copy.clearHistory(20);
    copy.onCaughtUp(20);
    // A VM of the earlier era lists again; one that knows of a later one asks another VM.
    watch({1, 50});
    runLoop(loop.get(), 1s, [&] { return results.size() == 3; });
    watch({3, 1});
    runLoop(loop.get(), 1s, [&] { return results.size() == 4; });
    copy.onWritten({"a", "z", 21, 0});
    copy.onCaughtUp(21);
    watch({2, 20});
    runLoop(loop.get(), 1s, [&] { return results.size() == 5; });
    using Result = std::optional<StoreError>;
    CHECK(results
          == std::vector<Result> {StoreError::HistoryGone, StoreError::Refused,
                                  StoreError::HistoryGone, StoreError::Refused, std::nullopt});
}
