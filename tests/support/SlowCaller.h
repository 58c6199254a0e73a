#pragma once

#include "Pimentoward/Core/Address.h"

#include <cstddef>
#include <string>

struct bufferevent;
struct event_base;

/// A caller that sends raw bytes and reads the answer only when it is told to.
class SlowCaller
{
public:
    SlowCaller(event_base *loop, const pimentoward::Address &vm);
    ~SlowCaller();
    SlowCaller(const SlowCaller &) = delete;
    SlowCaller &operator=(const SlowCaller &) = delete;

    void send(const std::string &bytes);
    void startReading();
    void stopReading();
    std::size_t receivedBytes() const { return m_receivedBytes; }
    /// True once the peer has closed or reset the connection.
    bool hasEnded() const { return m_hasEnded; }

private:
    bufferevent *m_stream = nullptr;
    std::size_t m_receivedBytes = 0;
    bool m_hasEnded = false;
};
