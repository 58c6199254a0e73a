#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Core/SystemClock.h"
#include "Pimentoward/Process/ControlTask.h"
#include "Pimentoward/Process/DaemonSettings.h"
#include "Pimentoward/Process/Drain.h"
#include "Pimentoward/Process/QueryTask.h"
#include "Pimentoward/Process/SignalWatch.h"
#include "Pimentoward/Process/Task.h"
#include "Pimentoward/Process/Timer.h"

#include <event2/event.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <iostream>
#include <random>
#include <sstream>

using namespace pimentoward;

namespace {

/// Returns a prefix for request IDs that is unique to this run of the process.
std::string newRequestPrefix(const std::string &vm)
{
    std::random_device random;
    std::ostringstream text;
    text << vm << '-' << std::hex << random() << random();
    return text.str();
}

QueryTaskSettings querySettings(const ResolvedSettings &settings)
{
    QueryTaskSettings result;
    result.self = settings.text("vm");
    result.requestPrefix = newRequestPrefix(result.self);
    result.callerListen = settings.address("caller-listen");
    result.peerListen = settings.address("data-listen");
    result.platform = settings.address("platform");
    result.storeCallTimeout = settings.milliseconds("store-timeout-ms");
    result.http.maxBodyBytes = static_cast<std::size_t>(settings.integer("longest-body"));
    return result;
}

ControlTaskSettings controlSettings(const ResolvedSettings &settings)
{
    ControlTaskSettings result;
    result.self = {settings.text("vm"), settings.address("data-listen").host,
                   settings.text("failure-domain")};
    result.platform = settings.address("platform");
    result.storeCallTimeout = settings.milliseconds("store-timeout-ms");
    result.operatorListen = settings.address("operator-listen");
    result.peerListen = settings.address("control-listen");
    return result;
}

/// Runs on the main thread: handles signals and the planned stop, and owns the query task and the
/// control task, which have threads of their own.
class Daemon
{
public:
    explicit Daemon(const ResolvedSettings &settings)
        : m_query(querySettings(settings), m_clock)
        , m_control(controlSettings(settings), m_clock,
                    {[this](auto view) { m_query.postView(std::move(view)); },
                     [this](ControlTask::DumpHook hook) { m_query.postDump(std::move(hook)); },
                     [this](ControlTask::BusyReportHook hook) {
                         m_query.postBusyReport(std::move(hook));
                     }})
        , m_drain(drainSettings(settings))
        , m_drainTimer(m_main.loop(), [this] { onDrainTimer(); })
        , m_signals(m_main.loop(), {SIGINT, SIGTERM, SIGUSR1},
                    [this](int signal) { onSignal(signal); })
    { }

    /// Opens the listening sockets of both tasks. Fails with a reason if an address cannot be
    /// bound.
    bool listen(Reason &reason) { return m_query.listen(reason) && m_control.listen(reason); }

    /// Serves until a planned stop is complete.
    void serve()
    {
        m_query.start();
        m_control.start();
        event_base_loop(m_main.loop(), EVLOOP_NO_EXIT_ON_EMPTY);
        m_control.stop();
        m_query.stop();
    }

private:
    static Drain::Settings drainSettings(const ResolvedSettings &settings)
    {
        Drain::Settings result;
        result.readinessDelay = settings.milliseconds("readiness-delay-ms");
        result.limit = settings.milliseconds("drain-limit-ms");
        return result;
    }

    void onSignal(int signal)
    {
        if (signal == SIGUSR1) {
            m_control.postDump([](const nlohmann::json &state) {
                LOG4CPLUS_INFO(Log::part("dump"), state.dump());
            });
            return;
        }
        LOG4CPLUS_INFO(m_log, "Planned stop requested by signal " << signal);
        const SteadyTime now = m_clock.now();
        apply(signal == SIGINT ? m_drain.onInterrupt(now) : m_drain.onStopSignal(now));
        m_drainTimer.startRepeating(drainPeriod);
    }

    void onDrainTimer()
    {
        m_query.postRunningCount([this](std::size_t running) {
            m_main.post([this, running] { m_drain.onRunningCount(running); });
        });
        apply(m_drain.tick(m_clock.now()));
    }

    void apply(const Drain::Actions &actions)
    {
        for (const Drain::Action &action : actions) {
            if (std::holds_alternative<Drain::TurnReadinessOff>(action)) {
                m_query.postNotReady();
            } else if (std::holds_alternative<Drain::Leave>(action)) {
                m_control.postLeave([this] {
                    m_main.post([this] { m_drain.onOwnershipReleased(m_clock.now()); });
                });
            } else if (const auto *exit = std::get_if<Drain::Exit>(&action)) {
                LOG4CPLUS_INFO(m_log, "Stopped; running requests cut off: " << exit->cut);
                event_base_loopbreak(m_main.loop());
            }
        }
    }

    /// Time between two steps of the planned stop.
    static constexpr std::chrono::milliseconds drainPeriod {20};

    SystemClock m_clock;
    /// This task has no thread of its own. Its loop runs on the main thread, and the other tasks
    /// post work to it.
    Task m_main {"main"};
    QueryTask m_query;
    ControlTask m_control;
    Drain m_drain;
    Timer m_drainTimer;
    SignalWatch m_signals;
    log4cplus::Logger m_log = Log::part("process");
};

int run(const ResolvedSettings &settings)
{
    Daemon daemon(settings);
    if (Reason reason; !daemon.listen(reason)) {
        std::cerr << "pimentod: " << reason.text << '\n';
        return static_cast<int>(ExitCode::CannotListen);
    }
    LOG4CPLUS_INFO(Log::part("process"), "Serving on " << settings.text("caller-listen"));
    daemon.serve();
    return static_cast<int>(ExitCode::Success);
}

} // namespace

int main(int argc, char **argv)
{
    ExitCode exitCode {};
    const auto settings = daemonSettingsReader().readOrExit(argc, argv, exitCode);
    if (!settings) {
        return static_cast<int>(exitCode);
    }
    Log::start(settings->text("log-level"));
    Log::exitProcess(run(*settings));
}
