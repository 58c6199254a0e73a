#pragma once

#include "standins/Relay.h"
#include "standins/Site.h"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace pimentoward::standins {

/// Faults of a site's backend servers and of the links to them, drawn at random. Half of them meet
/// the service that must not run a request twice, which would else be met too rarely.
class ServerFaults
{
public:
    struct Hooks
    {
        std::function<unsigned(unsigned below)> draw;
        std::function<void(const std::string &fault)> note;
        /// Runs the action after a while, which ends the fault.
        std::function<void(std::function<void()> action)> undoLater;
    };

    /// Links are relayed at `relayHost`; all references outlive this.
    ServerFaults(Site &site, Relay &relay, std::string relayHost, Hooks hooks);

    /// The address at which VMs find a backend server: that of its relay, made at the first call.
    Address addressOf(const ShardServer &server);
    /// Begins one fault.
    void begin();
    /// Backend servers that were told to leave.
    const std::vector<const ShardServer *> &draining() const { return m_draining; }

private:
    ShardServer &drawServer();
    /// Meets requests at `server` with what `hook` says, for a while.
    void spoil(ShardServer &server, ShardServer::FaultHook hook);
    void spoilReplies();
    /// Lets all backend servers of most services fail at once.
    void loseShards();
    void cutLink();
    void slowDown();
    void leave();

    Site &m_site;
    Relay &m_relay;
    std::string m_relayHost;
    Hooks m_hooks;
    std::map<BackendServerId, Address> m_addresses;
    std::vector<const ShardServer *> m_draining;
};

} // namespace pimentoward::standins
