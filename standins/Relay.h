#pragma once

#include "Pimentoward/Connection/HttpServer.h"
#include "standins/RelayConnection.h"

#include <list>
#include <memory>
#include <string>
#include <vector>

struct evconnlistener;
struct event_base;

namespace pimentoward::standins {

/// A TCP relay between the processes of a bench program. It adds delay, random jitter and stalls by
/// simulated packet loss, and can cut or freeze links. The seed determines the random numbers.
/// Commands arrive as POST /control (docs/MEASUREMENTS.md, "Relay").
class Relay
{
public:
    /// A relayed link: connections to `listen` are relayed to `target`.
    struct Pair
    {
        std::string name;
        Address listen;
        Address target;
    };

    Relay(event_base *loop, const RelayLinkSettings &settings, std::uint32_t seed);
    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    /// Parses [{"name", "listen", "target"}]. If that fails, `reason` is InvalidSetting and
    /// describes the error.
    static std::optional<std::vector<Pair>> parsePairs(const std::string &json, Reason &reason);

    /// Starts relaying a pair. Returns false with InvalidSetting if the address cannot be bound.
    bool listen(const Pair &pair, Reason &reason);
    /// Serves the control interface. Returns false if the address cannot be bound.
    bool listenForControl(const Address &address, Reason &reason);
    /// Changes the mode of one pair, or of all pairs if `pair` is empty. Returns false if there is
    /// no such pair.
    bool changeMode(const std::string &pair, RelayMode mode);
    /// Number of open relayed connections.
    std::size_t connections() const;

private:
    /// A pair with its listener, its mode and its open connections.
    struct Link
    {
        Relay *relay = nullptr;
        Pair pair;
        evconnlistener *listener = nullptr;
        RelayMode mode = RelayMode::Up;
        RelayLinkSettings settings;
        std::list<std::unique_ptr<RelayConnection>> connections;
    };

    void accept(Link &link, int socket);
    std::vector<Link *> findLinks(const std::string &pair);
    HttpAnswer handleControl(const HttpRequest &request);

    event_base *m_loop;
    RelayLinkSettings m_settings;
    std::uint32_t m_nextSeed;
    std::list<Link> m_links;
    HttpServer m_controlServer;
};

} // namespace pimentoward::standins
