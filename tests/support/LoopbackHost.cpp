#include "tests/support/LoopbackHost.h"

#include <unistd.h>

std::string loopbackHost(unsigned number)
{
    // Other second bytes are used by the deployments of the tools.
    constexpr unsigned minSecondByte = 64;
    constexpr unsigned secondBytes = 128;
    constexpr unsigned thirdBytes = 256;
    const auto process = static_cast<unsigned>(getpid());
    return "127." + std::to_string(minSecondByte + process % secondBytes) + "."
        + std::to_string(process / secondBytes % thirdBytes) + "." + std::to_string(number);
}

pimentoward::Address unusedAddress()
{
    constexpr unsigned host = 200;
    constexpr std::uint16_t firstPort = 10'000;
    constexpr unsigned ports = 20'000;
    static unsigned returned = 0;
    const auto offset = static_cast<std::uint16_t>(returned++ % ports);
    return {loopbackHost(host), static_cast<std::uint16_t>(firstPort + offset)};
}
