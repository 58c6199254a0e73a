#include "Pimentoward/Sharing/HttpVmExchange.h"

#include "tests/support/LoopbackHost.h"
#include "tests/support/ScriptedServer.h"
#include "tests/support/TestLoop.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace pimentoward;
using namespace std::chrono_literals;

namespace {

constexpr auto unknownTopic = static_cast<SharedTopic>(99);

/// Two VMs: `b` answers to sections about rate limits.
struct Pair
{
    Pair()
    {
        Reason reason;
        const Address address = unusedAddress();
        REQUIRE(b.listen(address, reason));
        a.changeVms({{"b", address}});
        b.serve(SharedTopic::RateLimit, [](const MemberId &from, const SharedSection &section) {
            return SharedSection {SharedTopic::RateLimit, from + ':' + section.content};
        });
    }

    LoopPtr loop = newLoop();
    HttpVmExchange a {loop.get(), {"a"}};
    HttpVmExchange b {loop.get(), {"b"}};
};

/// Asks and waits for the answer; returns "none" if there is none.
std::string askAndWait(event_base *loop, HttpVmExchange &exchange, const MemberId &to,
                       SharedSection section)
{
    std::string result;
    exchange.ask(to, std::move(section), 300ms, [&](const std::optional<SharedSection> &answer) {
        CHECK(result.empty());
        result = answer ? answer->content : "none";
    });
    CHECK(result.empty());
    runLoop(loop, 2s, [&] { return !result.empty(); });
    return result;
}

} // namespace

TEST_CASE("Sections between VMs are answered by topic, and unknown ones are not")
{
    Pair vms;
    const auto ask = [&](const MemberId &to, SharedSection section) {
        return askAndWait(vms.loop.get(), vms.a, to, std::move(section));
    };
    CHECK(ask("b", {SharedTopic::RateLimit, std::string("x\0y", 3)}) == std::string("a:x\0y", 5));
    CHECK(ask("b", {unknownTopic, "x"}) == "none");
    CHECK(ask("c", {SharedTopic::RateLimit, "x"}) == "none");
    // A section that is too large for a message is refused, and the next one is answered.
    CHECK(ask("b", {SharedTopic::RateLimit, std::string(maxSharedMessageBytes, 'x')}) == "none");
    CHECK(ask("b", {SharedTopic::RateLimit, "z"}) == "a:z");
}

TEST_CASE("Many sections for one VM are packed into few messages, each answered once")
{
    Pair vms;
    std::vector<std::string> answers;
    for (int number = 0; number < 200; ++number) {
        vms.a.ask("b", {SharedTopic::RateLimit, std::to_string(number)}, 2s,
                  [&](const std::optional<SharedSection> &answer) {
                      answers.push_back(answer ? answer->content : "none");
                  });
    }
    runLoop(vms.loop.get(), 3s, [&] { return answers.size() == 200; });
    std::sort(answers.begin(), answers.end());
    CHECK(answers.size() == 200);
    CHECK(std::unique(answers.begin(), answers.end()) == answers.end());
    CHECK(std::count(answers.begin(), answers.end(), "none") == 0);
}

// Load: the other VM is frozen, or something else answers at its address.
TEST_CASE("A silent VM or one that answers nonsense costs no more than the time to wait")
{
    const std::string reply
        = GENERATE(std::string(), std::string("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"),
                   std::string("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n\x83\x02\x61\x62\x80"),
                   std::string("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"));
    const LoopPtr loop = newLoop();
    ScriptedServer server(loop.get(), [&reply](ScriptedServer::Peer &peer) {
        if (!reply.empty() && peer.received.find("\r\n\r\n") != std::string::npos) {
            peer.received.clear();
            peer.write(reply);
        }
    });
    HttpVmExchange exchange(loop.get(), {"a"});
    exchange.changeVms({{"b", server.address()}});
    for (int round = 0; round < 8; ++round) {
        const auto begin = std::chrono::steady_clock::now();
        CHECK(askAndWait(loop.get(), exchange, "b", {SharedTopic::RateLimit, "x"}) == "none");
        CHECK(std::chrono::steady_clock::now() - begin < 600ms);
    }
}

TEST_CASE("Malformed messages between VMs are not decoded")
{
    const std::string valid
        = encode(SharedMessage {"a", {SharedSection {SharedTopic::RateLimit, "x"}, std::nullopt}});
    const auto decoded = decodeSharedMessage(valid);
    REQUIRE(decoded.has_value());
    CHECK(decoded->from == "a");
    REQUIRE(decoded->sections.size() == 2);
    CHECK_FALSE(decoded->sections[1].has_value());
    for (std::size_t length = 0; length < valid.size(); ++length) {
        CHECK_FALSE(decodeSharedMessage(valid.substr(0, length)).has_value());
    }
    SharedMessage large {"a", {}};
    large.sections.resize(maxSharedSections + 1);
    CHECK_FALSE(decodeSharedMessage(encode(large)).has_value());
    CHECK_FALSE(decodeSharedMessage(std::string(maxSharedMessageBytes + 1, '\x80')).has_value());
}
