#include "standins/ProcessGroup.h"

#include <catch2/catch.hpp>
#include <sys/wait.h>

#include <csignal>
#include <filesystem>

using namespace pimentoward;
using namespace pimentoward::standins;

TEST_CASE("A process group starts, signals and stops programs, and names a program that has ended",
          "[bench]")
{
    const auto folder = std::filesystem::temp_directory_path()
        / ("pimentoward-process-group-" + std::to_string(getpid()));
    constexpr std::chrono::seconds timeout {30};
    {
        ProcessGroup group(folder.string());
        group.start("sleeper", {"/bin/sleep", "60"});
        CHECK(group.isRunning("sleeper"));
        CHECK_FALSE(group.findEndedProcess().has_value());
        CHECK_THROWS(group.start("sleeper", {"/bin/sleep", "60"}));
        group.start("failing", {"/bin/false"});
        while (!group.findEndedProcess()) { }
        CHECK(*group.findEndedProcess() == "failing");
        const int status = group.wait("failing", timeout);
        CHECK(WIFEXITED(status));
        CHECK(WEXITSTATUS(status) == 1);
        group.signal("sleeper", SIGKILL);
        CHECK(WIFSIGNALED(group.wait("sleeper", timeout)));
        CHECK_FALSE(group.isRunning("sleeper"));
        group.start("other", {"/bin/sleep", "60"});
        group.stopAll();
        CHECK_FALSE(group.isRunning("other"));
    }
    std::filesystem::remove_all(folder);
}
