/// A VM of the tier with one of its mechanisms off, to show that the soak notices. Never deployed.

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

constexpr int exitBadSettings = 2;

using Weaken = std::function<void(TierProcess::Settings &)>;

const std::map<std::string, Weaken> &mechanisms()
{
    static const std::map<std::string, Weaken> entries {
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

int run(const std::string &path, const Weaken &weaken)
{
    Reason reason;
    const auto text = readFile(path, reason);
    auto settings = text ? platform::readSettings(*text, reason) : std::nullopt;
    if (!settings) {
        std::cerr << reason.text << '\n';
        return exitBadSettings;
    }
    weaken(settings->process);
    TierProcess process(
        settings->process, platform::recordCodec(),
        [&](event_base *loop) {
            return std::make_unique<platform::StoreClient>(loop, settings->store);
        },
        [](TierProcess &, bool) {});
    if (!process.listen(reason)) {
        std::cerr << reason.text << '\n';
        return exitBadSettings;
    }
    process.serve();
    return EXIT_SUCCESS;
}

int runWith(int argc, char **argv)
{
    cxxopts::Options options("weak-tier", "A VM of the tier with one mechanism off, for the soak");
    options.add_options()("settings", "Settings file", cxxopts::value<std::string>())(
        "without", "The mechanism", cxxopts::value<std::string>())("help", "This text");
    const cxxopts::ParseResult given = options.parse(argc, argv);
    if (given.count("help") > 0) {
        std::cout << options.help() << '\n';
        return EXIT_SUCCESS;
    }
    const auto found = mechanisms().find(given["without"].as<std::string>());
    if (found == mechanisms().end()) {
        std::cerr << "weak-tier: --without must be one of";
        for (const auto &[name, weaken] : mechanisms()) {
            std::cerr << ' ' << name;
        }
        std::cerr << '\n';
        return exitBadSettings;
    }
    Log::startStructured("INFO");
    return run(given["settings"].as<std::string>(), found->second);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return runWith(argc, argv);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "weak-tier: " << error.what() << "; see --help\n";
        return exitBadSettings;
    }
}
