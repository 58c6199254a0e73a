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

/// A complete process of the tier that sends requests directly to backend servers. Combines the
/// serving task, the task that follows the platform's store, signal handling and the planned stop.
class TierProcess
{
public:
    struct Settings
    {
        ServingTaskSettings serving;
        Discovery::Settings discovery;
        Drain::Settings drain;
    };
    /// Creates the client of the platform's store on the loop of the task that will use it.
    using StoreFactory = std::function<std::unique_ptr<KeyValueStore>(event_base *)>;
    /// Checks whether the settings have changed. Runs on SIGHUP, with `isRequested` set, and once a
    /// second.
    using ReloadHook = std::function<void(TierProcess &, bool isRequested)>;

    TierProcess(const Settings &settings, RecordCodec codec, const StoreFactory &createStore,
                ReloadHook onReload);

    /// Binds all addresses. On failure returns false and sets `reason` to InvalidSetting.
    bool listen(Reason &reason) { return m_serving.listen(reason) && m_discovery.listen(reason); }
    /// Serves until a planned stop is complete.
    void serve();
    /// Applies the settings that can change while the process runs: the shared limits and the times
    /// of the planned stop. Must be called on the main loop, where the reload hook runs.
    void changeSettings(const Settings &settings);
    /// Runs `hook` on the task that uses the store's client.
    void postDiscovery(std::function<void()> hook) { m_discoveryTask.post(std::move(hook)); }

private:
    void onSignal(int signal);
    void onDrainTimer();
    void apply(const Drain::Actions &actions);
    void leave();

    SystemClock m_clock;
    /// Not started as a thread: serve() runs its loop on the calling thread. Other tasks post to
    /// it.
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
