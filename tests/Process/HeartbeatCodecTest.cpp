#include "Pimentoward/Process/ControlMessages.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace pimentoward;

namespace {

/// A service group of typical size: 140 backend servers for 8 VMs.
std::vector<BackendServerId> allServers()
{
    constexpr int servers = 140;
    std::vector<BackendServerId> result;
    result.reserve(servers);
    for (int index = 0; index < servers; ++index) {
        result.push_back("coach-app-s" + std::to_string(index / 2) + "-"
                         + std::to_string(index % 2));
    }
    std::sort(result.begin(), result.end());
    return result;
}

Heartbeat sampleHeartbeat()
{
    constexpr std::size_t members = 8;
    Heartbeat heartbeat;
    heartbeat.from = "vm-3";
    heartbeat.incarnation = 0x89abcdef;
    heartbeat.sequence = 700'000;
    heartbeat.epoch = 1000;
    heartbeat.settingsRevision = 70'000;
    heartbeat.echo = HeartbeatEcho {0x9abcdef0, 800'000};
    heartbeat.ready = true;
    heartbeat.contactMask = 0xff;
    const auto all = allServers();
    for (std::size_t index = 0; index < all.size(); ++index) {
        if (index % members == 0) {
            heartbeat.owned.push_back(all[index]);
        }
        if (index % members == 1) {
            heartbeat.granted.push_back(all[index]);
        }
    }
    heartbeat.requested = heartbeat.owned;
    heartbeat.requested.push_back(all.back());
    return heartbeat;
}

} // namespace

TEST_CASE("A heartbeat is unchanged by encoding and decoding and fits the control traffic budget",
          "[membership]")
{
    HeartbeatServerList servers;
    servers.update(allServers());
    const Heartbeat sent = sampleHeartbeat();
    const std::string bytes = encodeControlMessage(sent, servers);
    Reason reason;
    const auto decoded = decodeControlMessage(bytes, servers, reason);
    REQUIRE(decoded);
    const auto &heartbeat = std::get<Heartbeat>(*decoded);
    CHECK(heartbeat.from == sent.from);
    CHECK(heartbeat.echo->sequence == sent.echo->sequence);
    CHECK(heartbeat.owned == sent.owned);
    CHECK(heartbeat.requested == sent.requested);
    CHECK(heartbeat.granted == sent.granted);
    CHECK(heartbeat.ready);
    // Each member exchanges heartbeats with 7 peers twice per second in both directions. These may
    // use half of the control traffic budget of 7 KB/s.
    constexpr std::size_t messagesPerSecond = 28;
    constexpr std::size_t halfBudget = 3500;
    CAPTURE(bytes.size());
    CHECK(bytes.size() * messagesPerSecond <= halfBudget);
}

TEST_CASE("A heartbeat with an unknown list of backend servers is marked as not readable",
          "[membership]")
{
    HeartbeatServerList sender;
    sender.update(allServers());
    HeartbeatServerList receiver;
    receiver.update({"other"});
    Reason reason;
    const std::string bytes = encodeControlMessage(sampleHeartbeat(), sender);
    CHECK_FALSE(
        std::get<Heartbeat>(*decodeControlMessage(bytes, receiver, reason)).serversReadable);
    // A heartbeat with an earlier list can still be decoded after the list changes.
    receiver.update(allServers());
    receiver.update({"other"});
    CHECK(std::get<Heartbeat>(*decodeControlMessage(bytes, receiver, reason)).owned
          == sampleHeartbeat().owned);
}

TEST_CASE("Corrupted control messages are decoded or refused with InvalidMessage", "[membership]")
{
    constexpr unsigned inputs = 100'000;
    std::mt19937 random(20261204);
    HeartbeatServerList servers;
    servers.update(allServers());
    const std::string original = encodeControlMessage(sampleHeartbeat(), servers);
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
        if (!decodeControlMessage(bytes, servers, reason)) {
            ++refused;
            REQUIRE(reason.code == ResultCode::InvalidMessage);
        }
    }
    CHECK(refused > inputs / 4);
}
