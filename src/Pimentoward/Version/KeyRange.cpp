#include "Pimentoward/Version/KeyRange.h"

#include <xxhash.h>

namespace pimentoward {

std::uint64_t KeyRange::positionOf(const std::string &key)
{
    constexpr unsigned highHalf = 32;
    return XXH64(key.data(), key.size(), 0) >> highHalf;
}

} // namespace pimentoward
