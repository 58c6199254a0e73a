#pragma once

#include "Pimentoward/Core/Types.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>

namespace pimentoward {

/// Converts wall-clock times to and from the form used in messages and stored values: whole
/// milliseconds since 1970.
class WallClockCodec
{
public:
    /// Returns nothing if the number is negative or too large.
    static std::optional<WallTime> decode(std::int64_t milliseconds);
    /// Reads a time from a JSON number. Throws nlohmann::json::exception if decode() would return
    /// nothing.
    static WallTime read(const nlohmann::json &json);
    /// Returns the whole milliseconds since 1970.
    static std::int64_t encode(WallTime time);
};

} // namespace pimentoward
