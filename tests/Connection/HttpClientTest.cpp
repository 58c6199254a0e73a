#include "Pimentoward/Connection/HttpClient.h"

#include "tests/support/ScriptedServer.h"
#include "tests/support/TestLoop.h"

#include <catch2/catch.hpp>

using namespace pimentoward;
using namespace std::chrono_literals;

namespace {

/// A script that answers each request with `body`.
ScriptedServer::Script answering(const std::string &body)
{
    return [body](ScriptedServer::Peer &peer) {
        if (peer.received.find("\r\n\r\n") != std::string::npos) {
            peer.received.clear();
            peer.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size())
                       + "\r\n\r\n" + body);
        }
    };
}

HttpCall get()
{
    HttpCall call;
    call.method = "GET";
    call.target = "/";
    call.timeout = 2s;
    return call;
}

} // namespace

TEST_CASE("New calls use a changed address, and running calls complete at the old one")
{
    const LoopPtr loop = newLoop();
    std::vector<ScriptedServer::Peer *> waitingPeers;
    ScriptedServer first(
        loop.get(), [&waitingPeers](ScriptedServer::Peer &peer) { waitingPeers.push_back(&peer); });
    ScriptedServer second(loop.get(), answering("second"));
    HttpClient client(loop.get(), first.address());
    std::vector<std::string> answers;
    const auto done = [&answers](const std::optional<HttpAnswer> &answer, const Reason &) {
        answers.push_back(answer ? answer->body : "failed");
    };
    client.send(get(), done);
    runLoop(loop.get(), 1s, [&waitingPeers] { return !waitingPeers.empty(); });
    client.changeAddress(second.address());
    client.send(get(), done);
    runLoop(loop.get(), 1s, [&answers] { return answers.size() == 1; });
    waitingPeers.front()->write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst");
    runLoop(loop.get(), 1s, [&answers] { return answers.size() == 2; });
    CHECK(answers == std::vector<std::string> {"second", "first"});
    // Idle connections to the previous address are closed by a timer.
    runLoop(loop.get(), 700ms);
    client.send(get(), done);
    runLoop(loop.get(), 1s, [&answers] { return answers.size() == 3; });
    CHECK(answers.back() == "second");
}
