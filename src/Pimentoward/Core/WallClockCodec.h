#pragma once

#include "Pimentoward/Core/Types.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>

namespace pimentoward {

/// Civil times as they stand in messages and stored values: whole milliseconds since 1970.
class WallClockCodec
{
public:
    /// Nothing where the number is negative or beyond what WallTime can hold.
    static std::optional<WallTime> decode(std::int64_t milliseconds);
    /// The time in a JSON number; throws nlohmann::json::exception where decode() gives nothing.
    static WallTime read(const nlohmann::json &json);
    static std::int64_t encode(WallTime time);
};

} // namespace pimentoward
