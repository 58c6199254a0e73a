#include "tests/support/TierRules.h"

#include <memory>
#include <random>

using namespace pimentoward;
using namespace pimentoward::standins;

using Fault = ShardServer::Fault;

TierFixture::Request request(const std::string &path, std::size_t vm)
{
    TierFixture::Request request;
    request.path = path;
    request.vm = vm;
    return request;
}

TierFixture::Settings settingsWith(bool ForwarderChecks::*check, bool isOn)
{
    TierFixture::Settings settings;
    settings.adjust = [=](ServingTaskSettings &serving) { serving.forwarder.checks.*check = isOn; };
    return settings;
}

void addFaults(TierFixture &fixture, const std::vector<Fault> &faults, double share)
{
    const auto random = std::make_shared<std::mt19937>(7);
    for (ShardServer *server : fixture.site().allServers()) {
        server->changeFault([random, faults, share](const HttpRequestMessage &) {
            const bool hasFault = std::uniform_real_distribution<double>(0, 1)(*random) < share;
            return hasFault ? faults[(*random)() % faults.size()] : Fault::None;
        });
    }
}
