#pragma once

#include <cstddef>

namespace pimentoward {

/// Bounds the memory that several holders of received bytes take together. Must be used from one
/// task only.
///
/// Load pattern: many servers at the same time send bytes without end. A limit for each of them
/// would have to be so low that it also broke off long replies.
class MemoryBudget
{
public:
    explicit MemoryBudget(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    { }

    /// Reserves `bytes`. Returns false and reserves nothing if that exceeds the maximum.
    bool tryReserve(std::size_t bytes)
    {
        if (bytes > m_maxBytes - m_reservedBytes) {
            return false;
        }
        m_reservedBytes += bytes;
        return true;
    }
    void release(std::size_t bytes) { m_reservedBytes -= bytes; }
    std::size_t reservedBytes() const { return m_reservedBytes; }

private:
    std::size_t m_maxBytes;
    std::size_t m_reservedBytes = 0;
};

} // namespace pimentoward
