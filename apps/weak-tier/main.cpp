/// Runs a VM of the tier with one of its safety mechanisms disabled, to verify that the soak test
/// detects the violations that follow. It must never be deployed.

#include "Pimentoward/Core/FileText.h"
#include "Pimentoward/Core/Log.h"
#include "platform/PlatformSettings.h"
#include "platform/RecordReader.h"
#include "platform/StoreClient.h"

#include <cxxopts.hpp>

#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>

using namespace pimentoward;

namespace {

constexpr int exitInvalidSettings = 2;

/// Disables one mechanism in the settings of a process.
using DisableHook = std::function<void(TierProcess::Settings &)>;

/// Returns the mechanisms that can be disabled, by the name that --without takes.
const std::map<std::string, DisableHook> &mechanisms()
{
    static const std::map<std::string, DisableHook> entries {
        {"at-most-once",
         [](TierProcess::Settings &settings) {
             settings.serving.forwarder.checks.gather.atMostOnce = false;
         }},
        {"true-not-run",
         [](TierProcess::Settings &settings) {
             settings.serving.forwarder.checks.gather.trueNotRun = false;
         }},
        {"coverage",
         [](TierProcess::Settings &settings) {
             settings.serving.forwarder.checks.gather.coverage = false;
         }},
        {"reply-identity",
         [](TierProcess::Settings &settings) {
             settings.serving.forwarder.checks.replyIdentity = false;
         }},
        {"out-of-service",
         [](TierProcess::Settings &settings) {
             settings.serving.forwarder.checks.outOfService = false;
         }},
    };
    return entries;
}

int run(const std::string &path, const DisableHook &disable)
{
    Reason reason;
    const auto text = readFile(path, reason);
    auto settings = text ? platform::readSettings(*text, reason) : std::nullopt;
    if (!settings) {
        std::cerr << reason.text << '\n';
        return exitInvalidSettings;
    }
    disable(settings->process);
    TierProcess process(
        settings->process, platform::recordCodec(),
        [&](event_base *loop) {
            return std::make_unique<platform::StoreClient>(loop, settings->store);
        },
        [](TierProcess &, bool) {});
    if (!process.listen(reason)) {
        std::cerr << reason.text << '\n';
        return exitInvalidSettings;
    }
    process.serve();
    return EXIT_SUCCESS;
}

int runCommandLine(int argc, char **argv)
{
    cxxopts::Options options("weak-tier",
                             "A VM of the tier with one mechanism disabled, for the soak test");
    options.add_options()("settings", "Path of the settings file", cxxopts::value<std::string>())(
        "without", "Name of the mechanism to disable",
        cxxopts::value<std::string>())("help", "Print this help and exit");
    const cxxopts::ParseResult given = options.parse(argc, argv);
    if (given.count("help") > 0) {
        std::cout << options.help() << '\n';
        return EXIT_SUCCESS;
    }
    const auto found = mechanisms().find(given["without"].as<std::string>());
    if (found == mechanisms().end()) {
        std::cerr << "weak-tier: --without must be one of";
        for (const auto &[name, disable] : mechanisms()) {
            std::cerr << ' ' << name;
        }
        std::cerr << '\n';
        return exitInvalidSettings;
    }
    Log::startStructured("INFO");
    return run(given["settings"].as<std::string>(), found->second);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return runCommandLine(argc, argv);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "weak-tier: " << error.what() << "; see --help\n";
        return exitInvalidSettings;
    }
}
