#include "Pimentoward/Core/WallClockCodec.h"

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

std::int64_t WallClockCodec::encode(WallTime time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

} // namespace pimentoward
