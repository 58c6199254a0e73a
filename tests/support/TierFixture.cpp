#include "tests/support/TierFixture.h"

#include "Pimentoward/Process/PreciseLoop.h"
#include "platform/RecordReader.h"
#include "platform/WireNames.h"
#include "tests/support/LoopbackHost.h"
#include "tests/support/ScriptedServer.h"

#include <event2/event.h>

using namespace pimentoward;
using namespace pimentoward::standins;
using namespace std::chrono_literals;

namespace {

ServingTaskSettings servingSettings(const std::string &name, const std::string &domain,
                                    const TierNode::Adjust &adjust)
{
    ServingTaskSettings settings;
    settings.callerListen = unusedAddress();
    settings.readyListen = unusedAddress();
    settings.readyPath = platform::wire::readyPath;
    settings.forwarder.headers = platform::wire::headerNames();
    settings.forwarder.failureDomain = domain;
    settings.forwarder.fleet.failureDomain = domain;
    settings.forwarder.fleet.self = name;
    adjust(settings);
    return settings;
}

Discovery::Settings discoverySettings(const std::string &name, const std::string &domain,
                                      const TierNode::AdjustDiscovery &adjust)
{
    Discovery::Settings settings;
    settings.feed.self = name;
    settings.feed.failureDomain = domain;
    settings.feed.address = unusedAddress();
    settings.registration.key = platform::wire::memberPrefix + name;
    settings.registration.timeToLive = 2s;
    settings.registration.renewPeriod = 500ms;
    settings.mirror.watchTime = 500ms;
    adjust(settings);
    return settings;
}

} // namespace

TierNode::TierNode(event_base *loop, const std::string &name, const std::string &domain,
                   const Address &store, const Adjust &adjust,
                   const AdjustDiscovery &adjustDiscovery)
    : m_settings(servingSettings(name, domain, adjust))
    , m_serving(std::make_unique<ServingTask>(m_settings))
    , m_store(loop, store)
    , m_discovery(loop, m_clock, m_store, platform::recordCodec(),
                  discoverySettings(name, domain, adjustDiscovery),
                  {[this](const RouteTablePtr &routes) {
                       m_settingsRevision = routes->revision();
                       m_serving->postRoutes(routes);
                   },
                   [this](const BackendListPtr &list) {
                       m_backends = list->size;
                       m_serving->postBackends(list);
                   },
                   [this](const std::vector<MemberId> &members) {
                       m_members = members.size();
                       m_serving->postMembers(members);
                   },
                   nullptr,
                   [this](const RolloutTablePtr &table) { m_serving->postRollouts(table); }},
                  [this](bool areOutdated) { m_serving->postRecordsOutdated(areOutdated); })
{
    Reason reason;
    if (!m_serving->listen(reason) || !m_discovery.listen(reason)) {
        throw std::runtime_error(reason.text);
    }
    m_discovery.setVmsHook([this](const VmView &view) { m_serving->postVms(view); });
    m_serving->start();
    m_discovery.start();
}

TierNode::~TierNode() = default;

bool TierNode::knowsAll(std::size_t backends, std::size_t members) const
{
    return m_settingsRevision > 0 && m_backends >= backends && m_members >= members;
}

TierFixture::TierFixture(const Settings &settings)
    : m_settings(settings)
    , m_loop(newPreciseLoop())
    , m_site(std::make_unique<Site>(m_loop, settings.site))
    , m_caller(std::make_unique<SiteCaller>(m_loop, settings.site.host, "r"))
{
    if (Reason reason; !m_site->start(reason)) {
        throw std::runtime_error(reason.text);
    }
    for (std::size_t index = 0; index < settings.vms; ++index) {
        m_vms.emplace_back();
        startVm(index);
    }
}

TierFixture::~TierFixture()
{
    m_caller.reset();
    m_vms.clear();
    m_site.reset();
    event_base_free(m_loop);
}

void TierFixture::startVm(std::size_t index)
{
    m_vms[index] = std::make_unique<TierNode>(
        m_loop, "vm-" + std::to_string(index), Site::domainName(index),
        Address {"127.0.0.1", store().port()}, m_settings.adjust, m_settings.adjustDiscovery);
}

bool TierFixture::waitUntilKnown()
{
    const Site::Settings &site = m_settings.site;
    const std::size_t backends = site.shards * site.replicas + site.singleReplicas;
    const auto isKnown = [&] {
        for (const auto &vm : m_vms) {
            if (vm && !vm->knowsAll(backends, m_settings.vms)) {
                return false;
            }
        }
        return true;
    };
    runLoop(m_loop, 5s, isKnown);
    // Gives the serving tasks time to apply what was posted to them.
    runLoop(m_loop, 20ms);
    return isKnown();
}

TierFixture::Outcome TierFixture::sendAndWait(const Request &request)
{
    Outcome &outcome = send(request);
    runLoop(m_loop, request.timeLeft + 1s, [&] { return outcome.hasEnded; });
    return outcome;
}

void TierFixture::run(std::chrono::milliseconds time)
{
    runLoop(m_loop, time);
}

void TierFixture::runUntilEnded()
{
    runLoop(m_loop, 5s, [this] { return m_caller->haveAllEnded(); });
}
