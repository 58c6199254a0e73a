#define CATCH_CONFIG_RUNNER
#include "Pimentoward/Core/Log.h"

#include <catch2/catch.hpp>

#include <csignal>

int main(int argc, char **argv)
{
    // As SignalWatch does in every program: a broken connection is an error, not an end.
    std::signal(SIGPIPE, SIG_IGN);
    // The log of failure tests would hide their results.
    pimentoward::Log::start("OFF");
    return Catch::Session().run(argc, argv);
}
