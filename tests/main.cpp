#define CATCH_CONFIG_RUNNER
#include "Pimentoward/Core/Log.h"

#include <catch2/catch.hpp>

int main(int argc, char **argv)
{
    // The log of failure tests would hide their results.
    pimentoward::Log::start("OFF");
    return Catch::Session().run(argc, argv);
}
