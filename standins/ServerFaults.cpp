#include "standins/ServerFaults.h"

#include <iterator>
#include <set>
#include <stdexcept>

namespace pimentoward::standins {

using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t firstRelayPort = 7200;
/// Maximum number of backend servers that one call of injectReplyFaults() affects.
constexpr unsigned maxFaultyServers = 4;
constexpr std::chrono::milliseconds pauseTime {250};
constexpr std::chrono::milliseconds normalServiceTime {5};
constexpr std::chrono::milliseconds slowServiceTime {60};

} // namespace

ServerFaults::ServerFaults(Site &site, Relay &relay, std::string relayHost, Hooks hooks)
    : m_site(site)
    , m_relay(relay)
    , m_relayHost(std::move(relayHost))
    , m_hooks(std::move(hooks))
{ }

Address ServerFaults::addressOf(const ShardServer &server)
{
    const BackendServerId &id = server.settings().id;
    if (const auto found = m_addresses.find(id); found != m_addresses.end()) {
        return found->second;
    }
    const auto port = static_cast<std::uint16_t>(firstRelayPort + m_addresses.size());
    Address address {m_relayHost, port};
    if (Reason reason; !m_relay.listen({id, address, server.address()}, reason)) {
        throw std::runtime_error(reason.text);
    }
    m_addresses[id] = address;
    return address;
}

ShardServer &ServerFaults::drawServer()
{
    const bool isSingleService = m_hooks.draw(2) == 0;
    const auto servers
        = isSingleService ? m_site.servers(Site::singleService) : m_site.allServers();
    return *servers[m_hooks.draw(static_cast<unsigned>(servers.size()))];
}

void ServerFaults::injectRandomFault()
{
    switch (m_hooks.draw(7)) {
    case 0:
    case 1:
        injectReplyFaults();
        break;
    case 2:
        cutLink();
        break;
    case 3: {
        ShardServer &server = drawServer();
        m_hooks.logEvent(server.settings().id + " is paused");
        server.pause(pauseTime);
        break;
    }
    case 4:
        slowServer();
        break;
    case 5:
        failServices();
        break;
    default:
        drainServer();
    }
}

void ServerFaults::injectReplyFault(ShardServer &server, ShardServer::FaultHook hook)
{
    server.changeFault(std::move(hook));
    m_hooks.scheduleUndo([&server] {
        server.changeFault([](const HttpRequestMessage &) { return ShardServer::Fault::None; });
    });
}

void ServerFaults::injectReplyFaults()
{
    using Fault = ShardServer::Fault;
    static constexpr Fault faults[] = {Fault::TruncatedReply, Fault::MalformedReply,
                                       Fault::ExtraReply,     Fault::MismatchedReply,
                                       Fault::NoLength,       Fault::ConnectionReset,
                                       Fault::Failure,        Fault::Unsigned,
                                       Fault::Encoded,        Fault::Shed,
                                       Fault::NoReply};
    const Fault fault = faults[m_hooks.draw(std::size(faults))];
    for (unsigned remaining = 1 + m_hooks.draw(maxFaultyServers); remaining > 0; --remaining) {
        ShardServer &server = drawServer();
        m_hooks.logEvent(server.settings().id + " has reply fault "
                         + std::to_string(static_cast<int>(fault)));
        injectReplyFault(server, [this, fault](const HttpRequestMessage &) {
            return m_hooks.draw(2) == 0 ? fault : Fault::None;
        });
    }
}

void ServerFaults::failServices()
{
    using Fault = ShardServer::Fault;
    const Fault fault = m_hooks.draw(2) == 0 ? Fault::Failure : Fault::ConnectionReset;
    std::set<ServiceName> services;
    for (const ShardServer *server : m_site.allServers()) {
        services.insert(server->settings().service);
    }
    for (const ServiceName &service : services) {
        if (m_hooks.draw(4) == 0) {
            continue;
        }
        m_hooks.logEvent(service + " fails at all backend servers, reply fault "
                         + std::to_string(static_cast<int>(fault)));
        for (ShardServer *server : m_site.servers(service)) {
            injectReplyFault(*server, [fault](const HttpRequestMessage &) { return fault; });
        }
    }
}

void ServerFaults::cutLink()
{
    static constexpr RelayMode modes[]
        = {RelayMode::Cut, RelayMode::CutToTarget, RelayMode::CutToCaller, RelayMode::Frozen};
    const BackendServerId id = drawServer().settings().id;
    const RelayMode mode = modes[m_hooks.draw(std::size(modes))];
    m_hooks.logEvent("link to " + id + " is in mode " + std::to_string(static_cast<int>(mode)));
    m_relay.changeMode(id, mode);
    m_hooks.scheduleUndo([this, id] { m_relay.changeMode(id, RelayMode::Up); });
}

void ServerFaults::slowServer()
{
    ShardServer &server = drawServer();
    m_hooks.logEvent(server.settings().id + " is slow");
    server.changeServiceTime(slowServiceTime);
    m_hooks.scheduleUndo([&server] { server.changeServiceTime(normalServiceTime); });
}

void ServerFaults::drainServer()
{
    ShardServer &server = drawServer();
    if (server.settings().service != Site::singleService || !m_draining.empty()) {
        return;
    }
    m_hooks.logEvent(server.settings().id + " is draining");
    m_site.registerServer(server, Site::domainName(0), "draining");
    m_draining.push_back(&server);
}

} // namespace pimentoward::standins
