#include "Pimentoward/Process/PreciseLoop.h"

#include <catch2/catch.hpp>
#include <event2/event.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>

using namespace pimentoward;

TEST_CASE("After newPreciseLoop(), a write to a closed pipe fails and does not end the process",
          "[bench]")
{
    const auto previousHandler = std::signal(SIGPIPE, SIG_DFL);
    event_base *loop = newPreciseLoop();
    int ends[2] = {-1, -1};
    REQUIRE(pipe(ends) == 0);
    close(ends[0]);
    const char byte = 'x';
    CHECK(write(ends[1], &byte, 1) == -1);
    CHECK(errno == EPIPE);
    close(ends[1]);
    event_base_free(loop);
    std::signal(SIGPIPE, previousHandler);
}
