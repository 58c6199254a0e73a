#pragma once

#include <cstdint>
#include <string>

namespace pimentoward {

/// A half-open range [first, end) of positions in the key space.
struct KeyRange
{
    /// Number of positions in the whole key space.
    static constexpr std::uint64_t keySpaceSize = std::uint64_t {1} << 32;

    std::uint64_t first = 0;
    std::uint64_t end = 0;

    std::uint64_t size() const { return end - first; }
    bool contains(std::uint64_t position) const { return position >= first && position < end; }

    /// Position of a record key: the high half of its 64-bit xxHash.
    static std::uint64_t positionOf(const std::string &key);
};

} // namespace pimentoward
