#pragma once

#include "standins/ShardServer.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

namespace pimentoward::standins {

/// One connection from the tier, which carries one request at a time.
struct ShardServer::Peer
{
    ShardServer *server = nullptr;
    bufferevent *stream = nullptr;
    HttpReader reader {HttpReader::Direction::Requests, {}};
    bool isBusy = false;
    /// True once a reply without an end is being sent.
    bool isEndless = false;

    ~Peer()
    {
        if (stream != nullptr) {
            bufferevent_free(stream);
        }
    }

    void write(const std::string &bytes) const
    {
        bufferevent_write(stream, bytes.data(), bytes.size());
    }

    /// Closes the sending side of the connection once all bytes are written.
    void closeAfterWrite() const
    {
        const auto onWritten
            = [](bufferevent *written, void *) { shutdown(bufferevent_getfd(written), SHUT_WR); };
        bufferevent_setcb(stream, nullptr, onWritten, &Peer::onEvent, const_cast<Peer *>(this));
        bufferevent_trigger(stream, EV_WRITE, 0);
    }

    /// Makes the close of the socket reset the connection.
    void resetOnClose() const
    {
        const linger lingerReset {1, 0};
        setsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_LINGER, &lingerReset,
                   sizeof(lingerReset));
    }

    /// Reads input until a request is complete, and passes the request to the server.
    void readNext()
    {
        evbuffer *input = bufferevent_get_input(stream);
        while (!isBusy && evbuffer_get_length(input) > 0) {
            evbuffer_iovec chunk {};
            evbuffer_peek(input, -1, nullptr, &chunk, 1);
            std::size_t used = 0;
            const auto progress
                = reader.read({static_cast<const char *>(chunk.iov_base), chunk.iov_len}, used);
            evbuffer_drain(input, used);
            if (progress == HttpReader::Progress::Finished) {
                server->onRequest(*this, reader.takeRequest());
                return;
            }
            if (progress != HttpReader::Progress::Unfinished) {
                server->remove(*this);
                return;
            }
        }
    }

    static void onRead(bufferevent *, void *self) { static_cast<Peer *>(self)->readNext(); }
    static void onEvent(bufferevent *, short, void *self)
    {
        auto *peer = static_cast<Peer *>(self);
        peer->server->onDisconnect(*peer);
    }
};

} // namespace pimentoward::standins
