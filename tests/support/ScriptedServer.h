#pragma once

#include "Pimentoward/Core/Address.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

struct bufferevent;
struct event_base;
struct evconnlistener;

/// A TCP server on loopback that hands all bytes it gets to a script, which may write raw bytes
/// back or close.
class ScriptedServer
{
public:
    /// One connection as the script sees it.
    struct Peer
    {
        ScriptedServer *server = nullptr;
        bufferevent *stream = nullptr;
        /// Everything received on this connection.
        std::string received;

        void write(const std::string &bytes);
        /// Closes in order, after what was written.
        void end();
        /// Closes with a reset.
        void reset();
    };
    using Script = std::function<void(Peer &)>;

    ScriptedServer(event_base *loop, Script script);
    ~ScriptedServer();
    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    pimentoward::Address address() const { return {"127.0.0.1", m_port}; }
    std::size_t accepted() const { return m_peers.size(); }
    /// Bytes received over all connections.
    std::size_t receivedBytes() const;

private:
    void accept(int socket);

    event_base *m_loop;
    Script m_script;
    evconnlistener *m_listener = nullptr;
    std::uint16_t m_port = 0;
    std::vector<std::unique_ptr<Peer>> m_peers;
};

/// Runs the loop until `isDone` or for `limit` at most.
void runLoop(event_base *loop, std::chrono::milliseconds limit,
             const std::function<bool()> &isDone = nullptr);
