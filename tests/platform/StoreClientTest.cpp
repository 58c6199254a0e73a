#include "platform/StoreClient.h"

#include "Pimentoward/Connection/HttpServer.h"
#include "tests/support/ScriptedServer.h"
#include "tests/support/TestLoop.h"

#include <catch2/catch.hpp>

using namespace pimentoward;
using namespace std::chrono_literals;

namespace {

/// A store that gives the same answer to each call, with a client for it.
struct AnsweringStore
{
    AnsweringStore()
    {
        Reason reason;
        http.routePrefix("GET", "/", responder());
        http.routePrefix("POST", "/", responder());
        REQUIRE(http.listen({"127.0.0.1", 0}, reason));
        client = std::make_unique<platform::StoreClient>(loop.get(),
                                                         Address {"127.0.0.1", http.port()});
    }

    HttpServer::Handler responder()
    {
        return
            [this](const HttpRequest &, const HttpServer::Responder &respond) { respond(answer); };
    }

    /// Makes a call and waits for what its hook receives.
    template <typename Value, typename Call>
    std::optional<Value> result(Call call)
    {
        std::optional<Value> received;
        bool isDone = false;
        call([&](std::optional<Value> value, const StoreFailure &error) {
            received = std::move(value);
            failure = error;
            isDone = true;
        });
        runLoop(loop.get(), 2s, [&] { return isDone; });
        REQUIRE(isDone);
        return received;
    }

    std::optional<StorePage> range()
    {
        return result<StorePage>([this](auto hook) { client->range("", "", hook); });
    }

    std::optional<StoreChanges> watch()
    {
        return result<StoreChanges>([this](auto hook) { client->watch("", 1, 100ms, hook); });
    }

    LoopPtr loop = newLoop();
    HttpServer http {loop.get(), {}};
    HttpAnswer answer;
    std::unique_ptr<platform::StoreClient> client;
    StoreFailure failure;
};

std::string entry(const std::string &key)
{
    return R"({"key":")" + key + R"(","value":"eA==","revision":7})";
}

/// Keys that no known writer has written: half of a surrogate pair, bytes that are no UTF-8, line
/// ends; and entries without a usable key or revision.
const std::vector<std::string> oddEntries
    = {entry(R"(servers/x\ud83d)"),     entry("servers/x\xff"),
       entry("servers/x\xed\xa0\xbd"),  entry(R"(servers/x\r\n)"),
       entry(R"(op/evacuate/a\u0000)"), R"({"key":"servers/x","revision":1e999})",
       R"({"key":7,"revision":7})",     std::string(1000, '[') + std::string(1000, ']')};

} // namespace

TEST_CASE("One odd entry in the store's answer is left out, and all others hold")
{
    AnsweringStore store;
    const std::string odd = GENERATE(from_range(oddEntries));
    const std::string entries = "[" + entry("a") + "," + odd + "," + entry("b") + "]";
    store.answer.body = R"({"storeRevision":9,"items":)" + entries + "}";
    const auto page = store.range();
    REQUIRE(page.has_value());
    REQUIRE(page->items.size() == 2);
    CHECK(page->items[0].value == "x");
    CHECK(page->items[1].key == "b");
    CHECK(page->leftOut == 1);
    store.answer.body = R"({"storeRevision":9,"events":)" + entries + "}";
    const auto changes = store.watch();
    REQUIRE(changes.has_value());
    REQUIRE(changes->events.size() == 2);
    CHECK(changes->revision == 9);
    CHECK(changes->leftOut == 1);
}

TEST_CASE("A page whose last entry is odd continues after the last entry that is not")
{
    AnsweringStore store;
    const std::string odd = GENERATE(from_range(oddEntries));
    store.answer.body
        = R"({"storeRevision":9,"hasMore":true,"items":[)" + entry("a") + "," + odd + "]}";
    const auto page = store.range();
    REQUIRE(page.has_value());
    CHECK(page->hasMore);
    CHECK(page->items.back().key == "a");
}

TEST_CASE("Removing an odd key leaves a key that looks the same in place")
{
    AnsweringStore store;
    store.answer.body = R"({"storeRevision":9,"events":[{"key":"servers/x\ud83d","revision":8,)"
                        R"("deleted":true},{"key":"servers/x\ufffd","value":"","revision":9}]})";
    const auto changes = store.watch();
    REQUIRE(changes.has_value());
    REQUIRE(changes->events.size() == 1);
    CHECK(changes->events[0].item.key == "servers/x\xef\xbf\xbd");
    CHECK_FALSE(changes->events[0].isRemoved);
}

TEST_CASE("Only a status that states that a call had no effect counts as a refusal of the store")
{
    AnsweringStore store;
    const auto errorAt = [&](int status) {
        store.answer.status = status;
        CHECK_FALSE(store
                        .result<Revision>(
                            [&](auto hook) { store.client->transact(StoreTransaction(), hook); })
                        .has_value());
        return store.failure.error;
    };
    for (const int status : {403, 429, 503}) {
        CHECK(errorAt(status) == StoreError::Refused);
    }
    for (const int status : {201, 204, 302, 400, 408, 500, 502, 504}) {
        CHECK(errorAt(status) == StoreError::Unanswered);
    }
    CHECK(errorAt(404) == StoreError::NotFound);
    CHECK(errorAt(410) == StoreError::HistoryGone);
    CHECK(errorAt(412) == StoreError::Conflict);
}
