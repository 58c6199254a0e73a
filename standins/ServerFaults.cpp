#include "standins/ServerFaults.h"

#include <iterator>
#include <set>
#include <stdexcept>

namespace pimentoward::standins {

using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t firstRelayPort = 7200;
/// Most backend servers whose replies are spoiled by one fault.
constexpr unsigned mostSpoiled = 4;
constexpr std::chrono::milliseconds pauseTime {250};
constexpr std::chrono::milliseconds usualWorkTime {5};
constexpr std::chrono::milliseconds slowWorkTime {60};

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
    const bool isSingle = m_hooks.draw(2) == 0;
    const auto servers = isSingle ? m_site.servers(Site::singleService) : m_site.allServers();
    return *servers[m_hooks.draw(static_cast<unsigned>(servers.size()))];
}

void ServerFaults::begin()
{
    switch (m_hooks.draw(7)) {
    case 0:
    case 1:
        spoilReplies();
        break;
    case 2:
        cutLink();
        break;
    case 3: {
        ShardServer &server = drawServer();
        m_hooks.note(server.settings().id + " pauses");
        server.pause(pauseTime);
        break;
    }
    case 4:
        slowDown();
        break;
    case 5:
        loseShards();
        break;
    default:
        leave();
    }
}

void ServerFaults::spoil(ShardServer &server, ShardServer::FaultHook hook)
{
    server.changeFault(std::move(hook));
    m_hooks.undoLater([&server] {
        server.changeFault([](const HttpRequestMessage &) { return ShardServer::Fault::None; });
    });
}

void ServerFaults::spoilReplies()
{
    using Fault = ShardServer::Fault;
    static constexpr Fault faults[] = {Fault::TruncatedReply, Fault::MalformedReply,
                                       Fault::ExtraReply,     Fault::MismatchedReply,
                                       Fault::NoLength,       Fault::ConnectionReset,
                                       Fault::Failure,        Fault::Unsigned,
                                       Fault::Encoded,        Fault::Shed,
                                       Fault::NoReply};
    const Fault fault = faults[m_hooks.draw(std::size(faults))];
    for (unsigned left = 1 + m_hooks.draw(mostSpoiled); left > 0; --left) {
        ShardServer &server = drawServer();
        m_hooks.note(server.settings().id + " fault " + std::to_string(static_cast<int>(fault)));
        spoil(server, [this, fault](const HttpRequestMessage &) {
            return m_hooks.draw(2) == 0 ? fault : Fault::None;
        });
    }
}

void ServerFaults::loseShards()
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
        m_hooks.note(service + " fails whole, fault " + std::to_string(static_cast<int>(fault)));
        for (ShardServer *server : m_site.servers(service)) {
            spoil(*server, [fault](const HttpRequestMessage &) { return fault; });
        }
    }
}

void ServerFaults::cutLink()
{
    static constexpr RelayMode modes[]
        = {RelayMode::Cut, RelayMode::CutToTarget, RelayMode::CutToCaller, RelayMode::Frozen};
    const BackendServerId id = drawServer().settings().id;
    const RelayMode mode = modes[m_hooks.draw(std::size(modes))];
    m_hooks.note("link to " + id + ", mode " + std::to_string(static_cast<int>(mode)));
    m_relay.changeMode(id, mode);
    m_hooks.undoLater([this, id] { m_relay.changeMode(id, RelayMode::Up); });
}

void ServerFaults::slowDown()
{
    ShardServer &server = drawServer();
    m_hooks.note(server.settings().id + " is slow");
    server.changeServiceTime(slowWorkTime);
    m_hooks.undoLater([&server] { server.changeServiceTime(usualWorkTime); });
}

void ServerFaults::leave()
{
    ShardServer &server = drawServer();
    if (server.settings().service != Site::singleService || !m_draining.empty()) {
        return;
    }
    m_hooks.note(server.settings().id + " is leaving");
    m_site.registerServer(server, Site::domainName(0), "draining");
    m_draining.push_back(&server);
}

} // namespace pimentoward::standins
