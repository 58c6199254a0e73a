#pragma once

#include "Pimentoward/Core/Address.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

struct bufferevent;
struct event_base;

/// Many callers that all send the same bytes, each on a connection of its own, and stay open
/// whatever the VM answers.
class CallerCrowd
{
public:
    CallerCrowd(event_base *loop, const pimentoward::Address &vm, std::size_t callers,
                std::string bytes);
    ~CallerCrowd();
    CallerCrowd(const CallerCrowd &) = delete;
    CallerCrowd &operator=(const CallerCrowd &) = delete;

    /// Each caller whose connection is still open sends its next bytes, at most `count`.
    void sendNext(std::size_t count);
    /// True once the kernel has taken all bytes of each caller or the caller's connection has
    /// ended.
    bool hasSent() const;
    std::size_t unsentBytes() const { return m_bytes.size() - m_offered; }

private:
    struct Caller
    {
        bufferevent *stream = nullptr;
        bool hasEnded = false;
    };

    std::string m_bytes;
    std::size_t m_offered = 0;
    std::vector<std::unique_ptr<Caller>> m_callers;
};
