#pragma once

#include "Pimentoward/Core/SystemClock.h"
#include "Pimentoward/Discovery/Discovery.h"
#include "Pimentoward/Process/Drain.h"
#include "Pimentoward/Process/ServingTask.h"
#include "Pimentoward/Process/SignalWatch.h"
#include "Pimentoward/Process/Task.h"

#include <functional>
#include <memory>

namespace pimentoward {

/// A whole process that sends directly to backend servers: the serving task, the task that follows
/// the platform's store, signals and the planned stop.
class TierProcess
{
public:
    struct Settings
    {
        ServingTaskSettings serving;
        Discovery::Settings discovery;
        Drain::Settings drain;
    };
    /// Makes the client of the platform's store on the loop of the task that will use it.
    using StoreFactory = std::function<std::unique_ptr<KeyValueStore>(event_base *)>;
    /// Runs on SIGHUP and about once a second: looks whether the settings have changed.
    using ReloadHook = std::function<void(TierProcess &, bool isAsked)>;

    TierProcess(const Settings &settings, RecordCodec codec, const StoreFactory &makeStore,
                ReloadHook onReload);

    /// Binds all addresses; false with InvalidSetting in `reason` where that fails.
    bool listen(Reason &reason) { return m_serving.listen(reason) && m_discovery.listen(reason); }
    /// Serves until a planned stop has ended.
    void serve();
    /// Takes over what can change while it runs: bounds of shared limits and times of the planned
    /// stop. Runs on the main loop, as the reload hook does.
    void changeSettings(const Settings &settings);
    /// Runs `hook` on the task that uses the store's client.
    void postDiscovery(std::function<void()> hook) { m_discoveryTask.post(std::move(hook)); }

private:
    void onSignal(int signal);
    void onDrainTimer();
    void apply(const Drain::Actions &actions);
    void leave();

    SystemClock m_clock;
    /// Never started: its loop runs on the main thread, others post to it.
    Task m_main {"main"};
    ServingTask m_serving;
    Task m_discoveryTask {"discovery"};
    std::unique_ptr<KeyValueStore> m_store;
    Discovery m_discovery;
    Drain m_drain;
    ReloadHook m_onReload;
    Timer m_drainTimer;
    Timer m_reloadTimer;
    SignalWatch m_signals;
};

} // namespace pimentoward
