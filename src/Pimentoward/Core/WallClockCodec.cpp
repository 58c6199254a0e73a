#include "Pimentoward/Core/WallClockCodec.h"

#include <nlohmann/json.hpp>

namespace pimentoward {

std::optional<WallTime> WallClockCodec::decode(std::int64_t milliseconds)
{
    // Half of the range, so that adding a duration to a decoded time cannot overflow.
    constexpr std::int64_t most
        = std::chrono::duration_cast<std::chrono::milliseconds>(WallTime::duration::max()).count()
        / 2;
    if (milliseconds < 0 || milliseconds > most) {
        return std::nullopt;
    }
    return WallTime(std::chrono::milliseconds(milliseconds));
}

WallTime WallClockCodec::read(const nlohmann::json &json)
{
    const auto time = decode(json.get<std::int64_t>());
    if (!time) {
        throw nlohmann::json::other_error::create(0, "time out of range", &json);
    }
    return *time;
}

std::int64_t WallClockCodec::encode(WallTime time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

} // namespace pimentoward
