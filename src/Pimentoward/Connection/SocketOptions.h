#pragma once

#include <chrono>

namespace pimentoward {

/// How long bytes sent to a caller may stay unacknowledged.
inline constexpr std::chrono::milliseconds callerUserTimeout {10'000};

/// Sends small writes immediately (TCP_NODELAY).
void setLowDelay(int socket);
/// Ends the connection if sent bytes stay unacknowledged for `time`, for example because the peer
/// has lost power or its network (TCP_USER_TIMEOUT).
void setUserTimeout(int socket, std::chrono::milliseconds time);

} // namespace pimentoward
