#include "Pimentoward/Process/TierProcess.h"

#include "Pimentoward/Core/Log.h"

#include <event2/event.h>

#include <csignal>

namespace pimentoward {

namespace {

constexpr std::chrono::milliseconds drainPeriod {25};
constexpr std::chrono::seconds reloadPeriod {1};

log4cplus::Logger processLog()
{
    return Log::part("process");
}

} // namespace

TierProcess::TierProcess(const Settings &settings, RecordCodec codec,
                         const StoreFactory &createStore, ReloadHook onReload)
    : m_serving(settings.serving)
    , m_store(createStore(m_discoveryTask.loop()))
    , m_discovery(
          m_discoveryTask.loop(), m_clock, *m_store, std::move(codec), settings.discovery,
          {[this](RouteTablePtr routes) { m_serving.postRoutes(std::move(routes)); },
           [this](BackendListPtr list) { m_serving.postBackends(std::move(list)); },
           [this](std::vector<MemberId> members) { m_serving.postMembers(std::move(members)); },
           [this](RecordKind kind, std::size_t count) {
               m_serving.postUnusableRecords(kind, count);
           },
           [this](RolloutTablePtr table) { m_serving.postRollouts(std::move(table)); }},
          [this](bool areOutdated) { m_serving.postRecordsOutdated(areOutdated); })
    , m_drain(settings.drain)
    , m_onReload(std::move(onReload))
    , m_drainTimer(m_main.loop(), [this] { onDrainTimer(); })
    , m_reloadTimer(m_main.loop(), [this] { m_onReload(*this, false); })
    , m_signals(m_main.loop(), {SIGINT, SIGTERM, SIGHUP}, [this](int signal) { onSignal(signal); })
{
    m_serving.setRolloutReportHook([this](std::vector<RolloutReport> reports) {
        m_discoveryTask.post([this, reports = std::move(reports)] { m_discovery.write(reports); });
    });
}

void TierProcess::serve()
{
    m_discovery.setVmsHook([this](const VmView &view) { m_serving.postVms(view); });
    m_serving.start();
    m_discoveryTask.post([this] { m_discovery.start(); });
    m_discoveryTask.start();
    m_reloadTimer.startRepeating(reloadPeriod);
    event_base_loop(m_main.loop(), EVLOOP_NO_EXIT_ON_EMPTY);
    m_discoveryTask.stop();
    m_serving.stop();
    m_serving.reportCutRequests();
}

void TierProcess::changeSettings(const Settings &settings)
{
    const ForwarderSettings &forwarder = settings.serving.forwarder;
    m_serving.postSharedLimits(forwarder.retryBudget, forwarder.fleet.cold);
    m_drain.changeSettings(settings.drain);
}

void TierProcess::onSignal(int signal)
{
    if (signal == SIGHUP) {
        m_onReload(*this, true);
        return;
    }
    LOG4CPLUS_INFO(processLog(), "event=stop-asked signal=" << signal);
    const SteadyTime now = m_clock.now();
    apply(signal == SIGINT ? m_drain.onInterrupt(now) : m_drain.onStopSignal(now));
    m_drainTimer.startRepeating(drainPeriod);
}

void TierProcess::onDrainTimer()
{
    m_serving.postRunningCount([this](std::size_t running) {
        m_main.post([this, running] { m_drain.onRunningCount(running); });
    });
    apply(m_drain.tick(m_clock.now()));
}

void TierProcess::leave()
{
    m_serving.postCloseIdle();
    m_discoveryTask.post([this] {
        m_discovery.leave(
            [this] { m_main.post([this] { m_drain.onOwnershipReleased(m_clock.now()); }); });
    });
}

void TierProcess::apply(const Drain::Actions &actions)
{
    for (const Drain::Action &action : actions) {
        if (const auto *off = std::get_if<Drain::TurnReadinessOff>(&action)) {
            m_serving.postNotReady(off->lastAnswerAt);
        } else if (std::holds_alternative<Drain::Leave>(action)) {
            leave();
        } else if (std::holds_alternative<Drain::StopAccepting>(action)) {
            m_serving.postStopAccepting(
                [this] { m_main.post([this] { m_drain.onStoppedAccepting(); }); });
        } else if (const auto *exit = std::get_if<Drain::Exit>(&action)) {
            LOG4CPLUS_INFO(processLog(),
                           "event=stopped cut=" << exit->cut << " reason=\"" << exit->reason
                                                << '"');
            event_base_loopbreak(m_main.loop());
        }
    }
}

} // namespace pimentoward
