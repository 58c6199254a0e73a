#include "Pimentoward/Process/SettingsReader.h"

#include "Pimentoward/Process/DaemonSettings.h"

#include <catch2/catch.hpp>

#include <iostream>
#include <sstream>

using namespace pimentoward;

namespace {

using Environment = std::map<std::string, std::string>;

SettingsReader readerWith(const Environment &environment)
{
    SettingsReader reader = daemonSettingsReader();
    reader.environment([environment](const std::string &name) -> std::optional<std::string> {
        const auto found = environment.find(name);
        return found == environment.end() ? std::nullopt : std::optional(found->second);
    });
    return reader;
}

std::optional<ResolvedSettings> read(std::vector<const char *> flags, Reason &reason,
                                     const Environment &environment = {})
{
    flags.insert(flags.begin(), {"pimentod", "--vm=vm-1", "--failure-domain=a"});
    return readerWith(environment).read(static_cast<int>(flags.size()), flags.data(), reason);
}

/// Checks that the flags are refused with a message that contains each of `expectedWords`.
void checkRefusal(const std::vector<const char *> &flags,
                  const std::vector<std::string> &expectedWords)
{
    Reason reason;
    CHECK_FALSE(read(flags, reason));
    CHECK(reason.code == ResultCode::InvalidSetting);
    for (const std::string &word : expectedWords) {
        INFO(reason.text);
        CHECK(reason.text.find(word) != std::string::npos);
    }
}

/// What readOrExit() did: whether the program continues, its exit code, and what was written to
/// standard output and standard error.
struct StartResult
{
    bool continues = false;
    ExitCode exitCode {};
    std::string out;
    std::string error;
};

StartResult start(std::vector<const char *> flags)
{
    flags.insert(flags.begin(), "pimentod");
    std::ostringstream out;
    std::ostringstream error;
    auto *oldOut = std::cout.rdbuf(out.rdbuf());
    auto *oldError = std::cerr.rdbuf(error.rdbuf());
    StartResult result;
    result.continues
        = readerWith({})
              .readOrExit(static_cast<int>(flags.size()), flags.data(), result.exitCode)
              .has_value();
    std::cout.rdbuf(oldOut);
    std::cerr.rdbuf(oldError);
    result.out = out.str();
    result.error = error.str();
    return result;
}

} // namespace

TEST_CASE("A flag overrides a variable, and a variable overrides the default", "[settings]")
{
    Reason reason;
    const Environment environment {{"PIMENTOWARD_LOG_LEVEL", "WARN"},
                                   {"PIMENTOWARD_STORE_TIMEOUT_MS", "700"}};
    const auto settings = read({"--log-level", "DEBUG"}, reason, environment);
    REQUIRE(settings);
    CHECK(settings->text("log-level") == "DEBUG");
    CHECK(settings->milliseconds("store-timeout-ms") == std::chrono::milliseconds(700));
    CHECK(settings->text("platform") == "127.0.0.1:7000");
    const std::string description = settings->describe();
    CHECK(description.find("log-level = DEBUG  (flag)\n") != std::string::npos);
    CHECK(description.find("store-timeout-ms = 700  (environment)\n") != std::string::npos);
    CHECK(description.find("platform = 127.0.0.1:7000  (default)\n") != std::string::npos);
    CHECK_FALSE(read({}, reason, {{"PIMENTOWARD_LOG_LEVEL", "LOUD"}}));
}

TEST_CASE("An invalid setting is refused with its name, its value and the allowed values",
          "[settings]")
{
    checkRefusal({"--no-such", "1"}, {"no-such", "--help"});
    checkRefusal({"stray"}, {"stray"});
    checkRefusal({"--store-timeout-ms", "9"}, {"store-timeout-ms", "'9'", "10 to 60000"});
    checkRefusal({"--store-timeout-ms", "1s"}, {"store-timeout-ms", "'1s'", "milliseconds"});
    checkRefusal({"--longest-body", "99999999999999999999"}, {"longest-body", "1024 to 67108864"});
    checkRefusal({"--log-level", "LOUD"}, {"log-level", "LOUD", "TRACE,DEBUG"});
    checkRefusal({"--platform", "localhost:1"}, {"platform", "localhost:1", "IP:PORT"});
    checkRefusal({"--platform", "127.0.0.1:0"}, {"platform", "127.0.0.1:0", "IP:PORT"});
    checkRefusal({"--caller-listen", "127.0.0.1:9", "--operator-listen", "127.0.0.1:9"},
                 {"caller-listen", "operator-listen", "127.0.0.1:9", "different"});
    checkRefusal({"--vm", ""}, {"vm", "required"});
}

TEST_CASE("A program's start prints, checks or continues", "[settings]")
{
    const std::vector<const char *> good {"--vm=vm-1", "--failure-domain=a"};
    CHECK(start(good).continues);
    auto flags = good;
    flags.push_back("--check");
    CHECK_FALSE(start(flags).continues);
    CHECK(start(flags).out.find("valid") != std::string::npos);
    CHECK(start(flags).exitCode == ExitCode::Success);
    flags.back() = "--print-settings";
    CHECK(start(flags).out.find("vm = vm-1  (flag)") != std::string::npos);
    // The required settings are missing here; --help and --version do not need them.
    CHECK(start({"--check"}).exitCode == ExitCode::InvalidSettings);
    CHECK(start({"--check"}).error.find("'vm'") != std::string::npos);
    CHECK(start({"--help"}).exitCode == ExitCode::Success);
    for (const SettingSpec &spec : daemonSettingsTable()) {
        CHECK(start({"--help"}).out.find("--" + spec.name) != std::string::npos);
    }
    CHECK(start({"--version"}).out.find("pimentod ") == 0);
}
