#pragma once

#include <cstdint>

namespace pimentoward {

/// A number that only rises. Owned by one task.
class MetricsCounter
{
public:
    /// Adds to the count.
    void add(std::uint64_t amount = 1) { m_value += amount; }
    std::uint64_t value() const { return m_value; }

private:
    std::uint64_t m_value = 0;
};

} // namespace pimentoward
