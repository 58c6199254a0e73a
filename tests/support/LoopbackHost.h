#pragma once

#include "Pimentoward/Core/Address.h"

#include <string>

/// Returns a loopback address that only this process uses: the process ID selects its second and
/// third byte, and `number` (1 to 254) is the last one. Test processes that run at the same time
/// therefore never share ports.
std::string loopbackHost(unsigned number);

/// Returns an address that no earlier call in this process has returned. Its port is below the
/// range that the kernel uses for outgoing connections, so nothing else can take it before the
/// caller listens on it.
pimentoward::Address unusedAddress();
