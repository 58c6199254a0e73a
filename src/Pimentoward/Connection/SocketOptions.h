#pragma once

#include <chrono>

namespace pimentoward {

/// How long bytes to a caller may stay unacknowledged.
inline constexpr std::chrono::milliseconds callerUserTimeout {10'000};

/// Sends small writes at once.
void setLowDelay(int socket);
/// Ends the connection once bytes have stayed unacknowledged for `time`, as where the other side
/// has lost its power or its network.
void setUserTimeout(int socket, std::chrono::milliseconds time);

} // namespace pimentoward
