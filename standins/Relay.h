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

/// A TCP relay between processes of a bench: delay, jitter, stalls by loss, cuts and freezes, with
/// a fixed seed. Orders come by POST /control (docs/MEASUREMENTS.md, "Relay").
class Relay
{
public:
    /// Connections to `listen` are relayed to `target`.
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

    /// Reads [{"name", "listen", "target"}]; fails with InvalidSetting and names what is wrong.
    static std::optional<std::vector<Pair>> parsePairs(const std::string &json, Reason &reason);

    /// False with InvalidSetting where the address cannot be bound.
    bool listen(const Pair &pair, Reason &reason);
    bool listenForControl(const Address &address, Reason &reason);
    /// Changes the mode of one pair, or of all where `pair` is empty; false where there is none.
    bool changeMode(const std::string &pair, RelayMode mode);
    /// Relayed connections that stand.
    std::size_t connections() const;

private:
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
    std::vector<Link *> linksNamed(const std::string &pair);
    HttpAnswer order(const HttpRequest &request);

    event_base *m_loop;
    RelayLinkSettings m_settings;
    std::uint32_t m_nextSeed;
    std::list<Link> m_links;
    HttpServer m_orders;
};

} // namespace pimentoward::standins
