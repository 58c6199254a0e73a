#include "Pimentoward/Core/WallClockCodec.h"

#include <nlohmann/json.hpp>

namespace pimentoward {

std::optional<WallTime> WallClockCodec::decode(std::int64_t milliseconds)
{
    // This is half of the range of WallTime, so that adding a duration to a decoded time cannot
    // overflow.
    constexpr std::int64_t maxMilliseconds
        = std::chrono::duration_cast<std::chrono::milliseconds>(WallTime::duration::max()).count()
        / 2;
    if (milliseconds < 0 || milliseconds > maxMilliseconds) {
        return std::nullopt;
    }
    return WallTime(std::chrono::milliseconds(milliseconds));
}

WallTime WallClockCodec::read(const nlohmann::json &json)
{
    const auto time = decode(json.get<std::int64_t>());
    if (!time) {
        throw nlohmann::json::other_error::create(0, "the wall-clock time is out of range", &json);
    }
    return *time;
}

std::int64_t WallClockCodec::encode(WallTime time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

} // namespace pimentoward
