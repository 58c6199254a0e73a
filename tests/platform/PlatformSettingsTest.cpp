#include "platform/PlatformSettings.h"
#include "Pimentoward/Core/FileText.h"

#include <catch2/catch.hpp>

#include <random>

using namespace pimentoward;
using namespace std::chrono_literals;

namespace {

const std::string settingsText = R"(
nodeName = "vm-1"
ip = "10.1.0.9"
zone = "a"
internalPorts = [7380,7395]
unknown = { x = [1, 2] }
[listen]
frontend = "10.1.0.9:8104"
ready = "10.1.0.9:8108"
[bounds]
retryRatio = 0.25
retryWindowS = 8
retrySlack = 54
graceS = 6
[platform]
address = "10.200.1.7:8102"
)";

std::string settingsTextWithout(const std::string &line)
{
    std::string text = settingsText;
    text.erase(text.find(line), line.size());
    return text;
}

} // namespace

TEST_CASE("The limits of all callers follow from the VM's own limits", "[platform]")
{
    constexpr std::size_t megabyte = 1'048'576;
    Reason reason;
    const auto limited = platform::readSettings(
        settingsText + "[limits]\nmemoryMb = 112\nmaxFds = 4100\n", reason);
    REQUIRE(limited);
    CHECK(limited->process.serving.callerBudget.bytes == 28 * megabyte);
    CHECK(limited->process.serving.callerBudget.descriptors == 3900);
    for (const std::string odd : {"", "[limits]\nmemoryMb = -5\nmaxFds = -1\n",
                                  "[limits]\nmemoryMb = nan\nmaxFds = \"many\"\n"}) {
        const auto unlimited = platform::readSettings(settingsText + odd, reason);
        REQUIRE(unlimited);
        CHECK(unlimited->process.serving.callerBudget.bytes == 0);
        CHECK(unlimited->process.serving.callerBudget.descriptors == 0);
    }
}

TEST_CASE(
    "The platform's settings file is read into the tier's settings, and unknown fields are ignored")
{
    Reason reason;
    const auto settings = platform::readSettings(settingsText, reason);
    REQUIRE(settings.has_value());
    CHECK(settings->store.toString() == "10.200.1.7:8102");
    const ServingTaskSettings &serving = settings->process.serving;
    CHECK(serving.callerListen.toString() == "10.1.0.9:8104");
    CHECK(serving.readyListen.toString() == "10.1.0.9:8108");
    CHECK(serving.forwarder.failureDomain == "a");
    CHECK(serving.forwarder.retryBudget.ratio == 0.25);
    CHECK(serving.forwarder.retryBudget.sharedAllowance == 54);
    CHECK(serving.forwarder.retryBudget.window == 8s);
    CHECK(settings->process.drain.limit < 6s);
    CHECK(settings->process.discovery.feed.self == "vm-1");
    CHECK(settings->process.discovery.feed.address.toString() == "10.1.0.9:7395");
    CHECK(serving.sharing.listen->toString() == "10.1.0.9:7381");
    CHECK(serving.sharing.rateTolerance.ratio == 0);
    CHECK(serving.sharing.rateTolerance.allowance == 0);
}

TEST_CASE("Limits for cold backend servers are read, and only some changes need a restart")
{
    Reason reason;
    const auto before = platform::readSettings(settingsText, reason);
    std::string text = settingsText;
    text.replace(text.find("retrySlack = 54"), 15, "coldOver = 2.5\ncoldSlack = 7");
    const auto after = platform::readSettings(text, reason);
    REQUIRE((before && after));
    CHECK(after->process.serving.forwarder.fleet.cold.ratio == 2.5);
    CHECK(after->process.serving.forwarder.fleet.cold.sharedAllowance == 7);
    CHECK_FALSE(platform::needsRestart(*before, *after));
    text.replace(text.find("10.200.1.7"), 10, "10.200.1.8");
    CHECK_FALSE(platform::needsRestart(*before, *platform::readSettings(text, reason)));
    text.replace(text.find("10.1.0.9:8104"), 13, "10.1.0.9:8105");
    CHECK(platform::needsRestart(*before, *platform::readSettings(text, reason)));
}

TEST_CASE("What is tolerated above a rate limit is read, and VMs share only with a port between")
{
    Reason reason;
    std::string text = settingsText;
    text.replace(text.find("retrySlack = 54"), 15,
                 "quotaWindowS = 7\nquotaOver = 0.1\nquotaSlack = 20");
    const auto settings = platform::readSettings(text, reason);
    REQUIRE(settings.has_value());
    const RateTolerance &tolerance = settings->process.serving.sharing.rateTolerance;
    CHECK(tolerance.window == 7s);
    CHECK(tolerance.ratio == 0.1);
    CHECK(tolerance.allowance == 20);
    text.replace(text.find("[7380,7395]"), 11, "[7380,7381]");
    const auto narrow = platform::readSettings(text, reason);
    REQUIRE(narrow.has_value());
    CHECK_FALSE(narrow->process.serving.sharing.listen.has_value());
}

TEST_CASE("An invalid settings file is rejected with a reason that names the field")
{
    for (const char *line : {"nodeName = \"vm-1\"", "frontend = \"10.1.0.9:8104\"",
                             "ready = \"10.1.0.9:8108\"", "address = \"10.200.1.7:8102\""}) {
        Reason reason;
        CHECK_FALSE(platform::readSettings(settingsTextWithout(line), reason).has_value());
        const std::string field = std::string(line).substr(0, std::string(line).find(' '));
        CHECK(reason.text.find(field) != std::string::npos);
    }
    Reason reason;
    CHECK_FALSE(platform::readSettings("nodeName = ", reason).has_value());
    CHECK(reason.code == ResultCode::InvalidSetting);
    CHECK_FALSE(reason.text.empty());
    CHECK_FALSE(readFile("/nowhere/at/all.toml", reason).has_value());
}

TEST_CASE("An internal port outside 1 to 65535 is rejected, and a changed one needs a restart")
{
    Reason reason;
    const auto before = platform::readSettings(settingsText, reason);
    REQUIRE(before.has_value());
    for (const char *ports : {"[72916,7395]", "[0,7395]", "[7380,-1]", "[7380,\"x\"]"}) {
        std::string text = settingsText;
        text.replace(text.find("[7380,7395]"), 11, ports);
        CHECK_FALSE(platform::readSettings(text, reason).has_value());
        CHECK(reason.text.find("internalPorts") != std::string::npos);
    }
    std::string text = settingsText;
    text.replace(text.find("[7380,7395]"), 11, "[7381,7395]");
    CHECK(platform::needsRestart(*before, *platform::readSettings(text, reason)));
}

TEST_CASE("Limits that are out of range are replaced by valid ones")
{
    std::string text = settingsText;
    for (const auto &[from, to] : std::vector<std::pair<std::string, std::string>> {
             {"retryWindowS = 8", "retryWindowS = 0"},
             {"retryRatio = 0.25", "retryRatio = nan"},
             {"retrySlack = 54", "retrySlack = -1"},
             {"graceS = 6", "graceS = -inf"}}) {
        text.replace(text.find(from), from.size(), to);
    }
    Reason reason;
    const auto settings = platform::readSettings(text, reason);
    REQUIRE(settings.has_value());
    const auto &budget = settings->process.serving.forwarder.retryBudget;
    CHECK(budget.window >= 100ms);
    CHECK(budget.ratio == 0.2);
    CHECK(budget.sharedAllowance == 0);
    CHECK(settings->process.drain.limit > 0ms);
}

TEST_CASE("Mutated settings files are read or rejected with a reason")
{
    std::mt19937 random(3);
    constexpr int inputs = 20'000;
    for (int input = 0; input < inputs; ++input) {
        std::string text = settingsText;
        for (unsigned change = 1 + random() % 3; change > 0; --change) {
            text[random() % text.size()] = static_cast<char>(random());
        }
        Reason reason;
        if (!platform::readSettings(text, reason)) {
            REQUIRE_FALSE(reason.text.empty());
        }
    }
}
