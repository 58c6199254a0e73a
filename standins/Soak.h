#pragma once

#include "standins/ProcessGroup.h"
#include "standins/Relay.h"
#include "standins/ServerFaults.h"
#include "standins/Site.h"
#include "standins/SiteCaller.h"

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

struct event_base;

namespace pimentoward::standins {

/// Runs VMs of the tier as processes against a stand-in site, injects random faults, and checks
/// what callers and backend servers recorded. The seed determines the random numbers but not the
/// timing, so two runs with the same seed are similar but not identical.
class Soak
{
public:
    struct Settings
    {
        /// Folder of the built programs.
        std::string programs = "build";
        std::string logFolder = "out/soak";
        std::uint32_t seed = 1;
        /// Mechanism that is switched off in all VMs (see weak-tier); empty for none.
        std::string without;
        std::size_t vms = 4;
        std::size_t shards = 6;
        /// Period in which faults are injected.
        std::chrono::milliseconds faultPeriod {8000};
        /// First three numbers of the loopback addresses in use, each followed by a dot.
        std::string host = "127.0.5.";
    };

    struct Report
    {
        std::vector<std::string> violations;
        /// Events of the run with their times, mostly faults.
        std::vector<std::string> events;
        std::size_t requests = 0;
        /// Requests that were answered with status 200.
        std::size_t served = 0;
    };

    Soak(event_base *loop, const Settings &settings);
    ~Soak();

    /// Runs the whole test and returns its result.
    Report run();

private:
    enum class VmState { Running, Paused, Stopping };
    struct Vm
    {
        std::string name;
        Address callerAddress;
        VmState state = VmState::Running;
        unsigned starts = 0;
    };
    /// An action that ends a fault, and the time at which it runs.
    struct Undo
    {
        SteadyTime at {};
        std::function<void()> action;
    };

    void startVm(Vm &vm);
    /// Returns the content of one VM's settings file.
    std::string vmSettings(std::size_t index) const;
    void sendNextRequest();
    void injectFault();
    void injectVmFault();
    void injectStoreFault();
    void changeSettings();
    /// Ends the faults that are due to end, or all faults if `undoAll` is true.
    void runDueUndos(bool undoAll);
    void scheduleUndo(std::function<void()> action);
    /// Restarts VMs that have ended; an end that the soak did not cause is a violation.
    void restartEndedVms();
    /// Runs the event loop and the load for `time` and calls `step` in each iteration.
    void runFor(std::chrono::milliseconds time, const std::function<void()> &step);
    /// Sends a request and returns whether it was answered with status 200.
    bool isServing(const Vm &vm, const char *path);
    /// Checks that every VM serves each kind of request within the recovery time.
    void checkRecovery();
    /// Checks that draining backend servers get no more requests.
    void checkDraining();
    /// Returns a random number below `below`.
    unsigned draw(unsigned below);
    /// Adds an event to the report, with its time.
    void logEvent(const std::string &event);

    event_base *m_loop;
    Settings m_settings;
    std::mt19937 m_random;
    Site m_site;
    Relay m_relay;
    ServerFaults m_serverFaults;
    SiteCaller m_caller;
    ProcessGroup m_processes;
    std::vector<Vm> m_vms;
    std::vector<Undo> m_pendingUndos;
    Report m_report;
    SteadyTime m_started {};
};

} // namespace pimentoward::standins
