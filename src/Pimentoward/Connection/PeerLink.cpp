#include "Pimentoward/Connection/PeerLink.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

namespace pimentoward {

namespace {

constexpr std::size_t maxPeerMessageBytes = 8'388'608; // 8 MiB

using ServerEndpoint = websocketpp::server<websocketpp::config::core>;
using ClientEndpoint = websocketpp::client<websocketpp::config::core_client>;

/// The first call of websocketpp's _htonll() sets a static variable. Making that call once here
/// prevents a data race between tasks that create links at the same time.
void initializeByteOrderOnce()
{
    static const std::uint64_t initialized = websocketpp::lib::net::_htonll(1);
    static_cast<void>(initialized);
}

/// The common code of accepted and dialled links, which use different endpoint types of
/// websocketpp.
template <typename Endpoint>
class WebSocketLink final : public PeerLink
{
public:
    using Connection = typename Endpoint::connection_ptr;
    using MessagePtr = typename Endpoint::message_ptr;

    WebSocketLink(bufferevent *stream, Hooks hooks)
        : m_stream(stream)
        , m_hooks(std::move(hooks))
    {
        initializeByteOrderOnce();
        m_endpoint.clear_access_channels(websocketpp::log::alevel::all);
        m_endpoint.clear_error_channels(websocketpp::log::elevel::all);
        m_endpoint.set_max_message_size(maxPeerMessageBytes);
        bufferevent_setcb(m_stream, &WebSocketLink::onReadable, nullptr, &WebSocketLink::onEvent,
                          this);
        bufferevent_enable(m_stream, EV_READ | EV_WRITE);
    }

    ~WebSocketLink() override
    {
        m_hooks = {};
        if (m_connection != nullptr) {
            // websocketpp may keep the connection object alive after the link is destroyed, so all
            // handlers that refer to the link are removed.
            m_connection->set_write_handler(
                [](const websocketpp::connection_hdl &, const char *, std::size_t) {
                    return websocketpp::lib::error_code();
                });
            m_connection->set_message_handler(nullptr);
            m_connection->set_open_handler(nullptr);
            m_connection->set_close_handler(nullptr);
            m_connection->set_fail_handler(nullptr);
            m_connection->eof();
        }
        bufferevent_free(m_stream);
    }

    bool send(const std::string &message) override
    {
        if (!m_open) {
            return false;
        }
        return !m_connection->send(message, websocketpp::frame::opcode::binary);
    }

    bool isOpen() const override { return m_open; }
    std::uint64_t bytesSent() const override { return m_bytesSent; }
    std::uint64_t bytesReceived() const override { return m_bytesReceived; }

    Endpoint &endpoint() { return m_endpoint; }

    /// Sets the name that is sent as the first message, in text form.
    void setLocalName(std::string name) { m_localName = std::move(name); }

    void attach(const Connection &connection)
    {
        m_connection = connection;
        m_connection->set_write_handler(
            [this](const websocketpp::connection_hdl &, const char *data, std::size_t size) {
                m_bytesSent += size;
                bufferevent_write(m_stream, data, size);
                return websocketpp::lib::error_code();
            });
        m_connection->set_open_handler([this](const websocketpp::connection_hdl &) {
            m_open = true;
            if (!m_localName.empty()) {
                m_connection->send(m_localName, websocketpp::frame::opcode::text);
            }
            m_hooks.onOpen();
        });
        m_connection->set_message_handler(
            [this](const websocketpp::connection_hdl &, const MessagePtr &message) {
                const bool isName = message->get_opcode() == websocketpp::frame::opcode::text;
                (isName ? m_hooks.onPeerName : m_hooks.onMessage)(message->get_payload());
            });
        m_connection->set_close_handler(
            [this](const websocketpp::connection_hdl &) { handleClosed(); });
        m_connection->set_fail_handler(
            [this](const websocketpp::connection_hdl &) { handleClosed(); });
    }

private:
    static void onReadable(bufferevent *stream, void *self)
    {
        auto *link = static_cast<WebSocketLink *>(self);
        evbuffer *input = bufferevent_get_input(stream);
        while (evbuffer_get_length(input) > 0 && !link->m_closed) {
            const std::size_t size = evbuffer_get_contiguous_space(input);
            const auto *data = reinterpret_cast<const char *>(
                evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
            link->m_bytesReceived += size;
            link->m_connection->read_all(data, size);
            evbuffer_drain(input, size);
        }
    }

    static void onEvent(bufferevent *, short events, void *self)
    {
        auto *link = static_cast<WebSocketLink *>(self);
        if ((events & BEV_EVENT_CONNECTED) != 0) {
            return;
        }
        link->handleClosed();
    }

    void handleClosed()
    {
        if (m_closed) {
            return;
        }
        m_closed = true;
        m_open = false;
        bufferevent_disable(m_stream, EV_READ | EV_WRITE);
        m_hooks.onClosed();
    }

    bufferevent *m_stream;
    Hooks m_hooks;
    Endpoint m_endpoint;
    Connection m_connection;
    std::string m_localName;
    bool m_open = false;
    bool m_closed = false;
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_bytesReceived = 0;
};

} // namespace

std::unique_ptr<PeerLink> PeerLink::accept(bufferevent *stream, Hooks hooks)
{
    auto link = std::make_unique<WebSocketLink<ServerEndpoint>>(stream, std::move(hooks));
    const auto connection = link->endpoint().get_connection();
    link->attach(connection);
    connection->start();
    return link;
}

std::unique_ptr<PeerLink> PeerLink::dial(bufferevent *stream, std::string name, Hooks hooks)
{
    auto link = std::make_unique<WebSocketLink<ClientEndpoint>>(stream, std::move(hooks));
    websocketpp::lib::error_code error;
    const auto connection = link->endpoint().get_connection("ws://pimentoward/peer", error);
    link->setLocalName(std::move(name));
    link->attach(connection);
    link->endpoint().connect(connection);
    return link;
}

} // namespace pimentoward
