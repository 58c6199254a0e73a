#pragma once

#include "Pimentoward/Process/SettingsSyncDriver.h"
#include "tests/support/StoreFake.h"

#include <memory>
#include <set>

namespace pimentoward::tests {

/// Several VMs with their settings on a virtual clock, random faults and racing operators; the
/// checkers read the store's own log and what each VM has in force.
class SettingsSimulation
{
public:
    SettingsSimulation(unsigned seed, const SettingsSyncSettings &settings);

    /// Runs with faults, then for a while without, and checks throughout.
    void run();
    /// What was seen that must not be.
    const std::vector<std::string> &violations() const { return m_violations; }
    std::size_t answered(ResultCode code) const;
    /// Time from the commit of the last change, after the faults, to its acceptance.
    Duration lastAcceptanceDelay() const { return m_operations.back().acceptanceDelay; }

private:
    struct Echo
    {
        unsigned run = 0;
        SteadyTime sentAt {};
    };

    struct Vm
    {
        MemberId id;
        std::unique_ptr<StoreFakeClient> store;
        std::unique_ptr<SettingsSyncDriver> driver;
        unsigned run = 0;
        bool isFrozen = false;
        bool losesDocuments = false;
        std::vector<std::function<void()>> deferred;
        /// The member list that the VM knows.
        std::set<std::size_t> memberList;
        std::map<std::size_t, Echo> receivedHeartbeats;
        /// When this run sent the newest heartbeat that the peer has echoed.
        std::map<std::size_t, SteadyTime> echoed;
        Revision lastServedRevision = 0;
    };

    struct Operation
    {
        std::string id;
        Revision expected = 0;
        std::optional<ResultCode> outcome;
        SteadyTime startedAt {};
        /// From its commit to its acceptance.
        Duration acceptanceDelay {};
        std::size_t vm = 0;
        unsigned run = 0;
    };

    void startVm(std::size_t index);
    void send(std::size_t from, std::size_t to, std::function<void()> message);
    void deliver(std::size_t to, std::function<void()> message);
    void tick(std::size_t index);
    void sendHeartbeats(std::size_t index);
    void makeChanges();
    void startChange(std::size_t index, Revision expected);
    void injectFault();
    void injectStoreFault(StoreFault fault, Duration length);
    void cutLinks(std::size_t a, std::size_t b, Duration length);
    /// Removes the last VM from the member list, or adds it again; each VM learns it at its
    /// time.
    void changeMembers(bool immediately);
    void setMembers(std::size_t index, const std::set<std::size_t> &memberList);
    void freeze(std::size_t index, Duration length);
    void endFaults();
    bool serves(const Vm &vm) const;
    void check();
    void checkAnswers();
    void addViolation(const std::string &what);
    Duration milliseconds(unsigned minimum, unsigned maximum);

    static constexpr std::size_t members = 5;

    SettingsSyncSettings m_settings;
    unsigned m_seed;
    std::mt19937 m_random;
    EventQueue m_queue;
    StoreFake m_store;
    std::vector<Vm> m_vms;
    std::set<std::pair<std::size_t, std::size_t>> m_cuts;
    bool m_faultsEnded = false;
    /// The newest member list, and when it was made.
    std::set<std::size_t> m_memberList;
    SteadyTime m_memberListSince {};
    std::vector<Operation> m_operations;
    std::map<std::string, SteadyTime> m_committedAt;
    Revision m_acceptedRevision = 0;
    std::vector<std::string> m_violations;
};

} // namespace pimentoward::tests
