#define CATCH_CONFIG_RUNNER
#include "Pimentoward/Core/Log.h"

#include <catch2/catch.hpp>

#include <csignal>

int main(int argc, char **argv)
{
    // Every program ignores SIGPIPE (see SignalWatch), so that a write to a broken connection
    // returns an error and does not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    // Tests of failures would log so many lines that the test results are hard to find.
    pimentoward::Log::start("OFF");
    return Catch::Session().run(argc, argv);
}
