#pragma once

#include "standins/Relay.h"
#include "standins/Site.h"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace pimentoward::standins {

/// Injects random faults into the backend servers of a site and the links to them. On average, at
/// least half of the faults that affect individual servers are injected into servers of
/// Site::singleService, whose non-idempotent requests must not run twice. A uniform choice among
/// all servers would select them too rarely.
class ServerFaults
{
public:
    struct Hooks
    {
        /// Returns a random number below `below`.
        std::function<unsigned(unsigned below)> draw;
        /// Adds a fault to the report.
        std::function<void(const std::string &event)> logEvent;
        /// Runs `action`, which ends the fault, after a random time.
        std::function<void(std::function<void()> action)> scheduleUndo;
    };

    /// Links to backend servers are relayed at `relayHost`. `site` and `relay` must outlive this
    /// object.
    ServerFaults(Site &site, Relay &relay, std::string relayHost, Hooks hooks);

    /// Returns the address at which VMs reach a backend server, which is the relay's address for
    /// it. The first call for a server makes the relay listen there, and throws std::runtime_error
    /// if the address cannot be bound.
    Address addressOf(const ShardServer &server);
    /// Injects one fault.
    void injectRandomFault();
    /// Backend servers that were registered as draining.
    const std::vector<const ShardServer *> &draining() const { return m_draining; }

private:
    /// Chooses a random backend server: with probability 1/2 among those of the single service,
    /// otherwise among all.
    ShardServer &drawServer();
    /// Makes `server` use the faults that `hook` returns, until the fault is undone.
    void injectReplyFault(ShardServer &server, ShardServer::FaultHook hook);
    /// Injects one kind of reply fault at up to four random backend servers, into half of their
    /// replies on average.
    void injectReplyFaults();
    /// Makes all backend servers of a service fail, for three of four services on average.
    void failServices();
    void cutLink();
    void slowServer();
    /// Registers a backend server of the single service as draining, at most once in a run.
    void drainServer();

    Site &m_site;
    Relay &m_relay;
    std::string m_relayHost;
    Hooks m_hooks;
    std::map<BackendServerId, Address> m_addresses;
    std::vector<const ShardServer *> m_draining;
};

} // namespace pimentoward::standins
