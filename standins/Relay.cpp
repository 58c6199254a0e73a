#include "standins/Relay.h"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>

#include <map>

namespace pimentoward::standins {

namespace {

using Json = nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;

HttpAnswer textAnswer(int status, const std::string &text)
{
    return {status, text, "text/plain", {}};
}

std::optional<RelayMode> parseMode(const std::string &name)
{
    static const std::map<std::string, RelayMode> modes {
        {"heal", RelayMode::Up},
        {"cut", RelayMode::Cut},
        {"cut-to-target", RelayMode::CutToTarget},
        {"cut-to-caller", RelayMode::CutToCaller},
        {"freeze", RelayMode::Frozen},
    };
    const auto found = modes.find(name);
    return found == modes.end() ? std::nullopt : std::optional(found->second);
}

} // namespace

Relay::Relay(event_base *loop, const RelayLinkSettings &settings, std::uint32_t seed)
    : m_loop(loop)
    , m_settings(settings)
    , m_nextSeed(seed)
    , m_controlServer(loop, {})
{
    m_controlServer.route("POST", "/control",
                          [this](const HttpRequest &request, const auto &respond) {
                              respond(handleControl(request));
                          });
    m_controlServer.route("GET", "/stats", [this](const HttpRequest &, const auto &respond) {
        respond({statusOk, Json {{"connections", connections()}}.dump(), "application/json", {}});
    });
}

Relay::~Relay()
{
    for (Link &link : m_links) {
        link.connections.clear();
        evconnlistener_free(link.listener);
    }
}

std::optional<std::vector<Relay::Pair>> Relay::parsePairs(const std::string &json, Reason &reason)
{
    try {
        std::vector<Pair> pairs;
        for (const Json &item : Json::parse(json)) {
            const auto listen = Address::parse(item.at("listen").get<std::string>(), reason);
            const auto target
                = listen ? Address::parse(item.at("target").get<std::string>(), reason) : listen;
            if (!target) {
                return std::nullopt;
            }
            pairs.push_back({item.at("name").get<std::string>(), *listen, *target});
        }
        return pairs;
    } catch (const Json::exception &error) {
        reason = {ResultCode::InvalidSetting,
                  std::string("the list of relay pairs is invalid: ") + error.what()};
        return std::nullopt;
    }
}

bool Relay::listen(const Pair &pair, Reason &reason)
{
    m_links.emplace_back();
    Link &link = m_links.back();
    link.relay = this;
    link.pair = pair;
    link.settings = m_settings;
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(pair.listen.port);
    inet_pton(AF_INET, pair.listen.host.c_str(), &address.sin_addr);
    const auto onAccept
        = [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *context) {
              auto *accepted = static_cast<Link *>(context);
              accepted->relay->accept(*accepted, socket);
          };
    link.listener = evconnlistener_new_bind(
        m_loop, onAccept, &link, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        -1, reinterpret_cast<sockaddr *>(&address), sizeof(address));
    if (link.listener == nullptr) {
        m_links.pop_back();
        reason = {ResultCode::InvalidSetting, "cannot listen on " + pair.listen.toString()};
        return false;
    }
    return true;
}

bool Relay::listenForControl(const Address &address, Reason &reason)
{
    return m_controlServer.listen(address, reason);
}

void Relay::accept(Link &link, int socket)
{
    link.connections.emplace_back();
    const auto position = std::prev(link.connections.end());
    constexpr std::uint32_t seedsPerConnection = 2;
    const std::uint32_t seed = m_nextSeed;
    m_nextSeed += seedsPerConnection;
    *position = std::make_unique<RelayConnection>(
        m_loop, socket, link.pair.target, link.settings, link.mode, seed,
        [&link, position] { link.connections.erase(position); });
}

std::vector<Relay::Link *> Relay::findLinks(const std::string &pair)
{
    std::vector<Link *> found;
    for (Link &link : m_links) {
        if (pair.empty() || link.pair.name == pair) {
            found.push_back(&link);
        }
    }
    return found;
}

bool Relay::changeMode(const std::string &pair, RelayMode mode)
{
    const auto links = findLinks(pair);
    for (Link *link : links) {
        link->mode = mode;
        for (const auto &connection : link->connections) {
            connection->changeMode(mode);
        }
    }
    return !links.empty();
}

std::size_t Relay::connections() const
{
    std::size_t count = 0;
    for (const Link &link : m_links) {
        count += link.connections.size();
    }
    return count;
}

HttpAnswer Relay::handleControl(const HttpRequest &request)
{
    constexpr bool throwOnError = false;
    const Json command = Json::parse(request.body, nullptr, throwOnError);
    const std::string expected = "expected a JSON object with 'action' (heal, cut, cut-to-target, "
                                 "cut-to-caller, freeze) and, for one pair, 'pair'";
    if (!command.is_object() || !command.contains("action") || !command["action"].is_string()
        || (command.contains("pair") && !command["pair"].is_string())) {
        return textAnswer(statusBadRequest, expected);
    }
    const auto mode = parseMode(command["action"].get<std::string>());
    if (!mode) {
        return textAnswer(statusBadRequest, expected);
    }
    if (!changeMode(command.value("pair", ""), *mode)) {
        return textAnswer(statusBadRequest, "unknown pair name");
    }
    return textAnswer(statusOk, "ok");
}

} // namespace pimentoward::standins
