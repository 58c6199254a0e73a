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

/// A TCP server on loopback that calls a script whenever bytes arrive. The script can send raw
/// bytes or close the connection.
class ScriptedServer
{
public:
    /// One connection, as passed to the script.
    struct Peer
    {
        ScriptedServer *server = nullptr;
        bufferevent *stream = nullptr;
        /// Everything received on this connection.
        std::string received;

        /// Sends raw bytes.
        void write(const std::string &bytes);
        /// Shuts down the sending direction after all written bytes have been sent.
        void end();
        /// Closes the connection with a TCP reset.
        void reset();
    };
    using Script = std::function<void(Peer &)>;

    ScriptedServer(event_base *loop, Script script);
    ~ScriptedServer();
    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    pimentoward::Address address() const { return {"127.0.0.1", m_port}; }
    /// Number of connections accepted so far.
    std::size_t accepted() const { return m_peers.size(); }
    /// Number of bytes received on all connections.
    std::size_t receivedBytes() const;

private:
    void accept(int socket);

    event_base *m_loop;
    Script m_script;
    evconnlistener *m_listener = nullptr;
    std::uint16_t m_port = 0;
    std::vector<std::unique_ptr<Peer>> m_peers;
};

/// Runs the loop until `isDone` returns true, but for at most `limit`.
void runLoop(event_base *loop, std::chrono::milliseconds limit,
             const std::function<bool()> &isDone = nullptr);
