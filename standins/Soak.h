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

/// Runs VMs of the tier as processes against a stand-in site, lets random faults meet them from
/// outside, and judges by what callers and backend servers have seen. One seed gives one plan.
class Soak
{
public:
    struct Settings
    {
        std::string programs = "build";
        std::string logFolder = "out/soak";
        std::uint32_t seed = 1;
        /// The mechanism that is switched off in all VMs (see weak-tier); empty for none.
        std::string without;
        std::size_t vms = 4;
        std::size_t shards = 6;
        /// Time during which faults begin.
        std::chrono::milliseconds faultPeriod {8000};
        /// First three numbers of the loopback addresses that it uses.
        std::string host = "127.0.5.";
    };

    struct Report
    {
        std::vector<std::string> violations;
        std::vector<std::string> faults;
        std::size_t requests = 0;
        std::size_t served = 0;
    };

    Soak(event_base *loop, const Settings &settings);
    ~Soak();

    Report run();

private:
    enum class VmState { Running, Paused, Stopping };
    struct Vm
    {
        std::string name;
        Address callers;
        VmState state = VmState::Running;
        unsigned starts = 0;
    };
    /// What ends a fault, and when.
    struct Undo
    {
        SteadyTime at {};
        std::function<void()> action;
    };

    void startVm(Vm &vm);
    std::string settingsOf(std::size_t index) const;
    void sendNext();
    void beginFault();
    void harmVm();
    void harmStore();
    void changeSettings();
    void undoDue(bool undoAll);
    void undoLater(std::function<void()> action);
    void reapVms();
    void runFor(std::chrono::milliseconds time, const std::function<void()> &step);
    bool isServing(const Vm &vm, const char *path);
    void checkRecovery();
    void checkDraining();
    unsigned draw(unsigned below);
    void note(const std::string &fault);

    event_base *m_loop;
    Settings m_settings;
    std::mt19937 m_random;
    Site m_site;
    Relay m_relay;
    ServerFaults m_serverFaults;
    SiteCaller m_caller;
    ProcessGroup m_processes;
    std::vector<Vm> m_vms;
    std::vector<Undo> m_undos;
    Report m_report;
    SteadyTime m_started {};
};

} // namespace pimentoward::standins
