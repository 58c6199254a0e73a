#pragma once

#include <cstdint>

namespace pimentoward {

/// A metric whose value only increases. Used by one task only.
class MetricsCounter
{
public:
    /// Increases the value by `amount`.
    void add(std::uint64_t amount = 1) { m_value += amount; }
    std::uint64_t value() const { return m_value; }

private:
    std::uint64_t m_value = 0;
};

} // namespace pimentoward
