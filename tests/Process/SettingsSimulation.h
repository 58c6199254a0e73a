#pragma once

#include "Pimentoward/Process/SettingsSyncDriver.h"
#include "tests/support/StoreFake.h"

#include <memory>
#include <set>

namespace pimentoward::tests {

/// Simulates several VMs that synchronize their settings, on a virtual clock, with random faults
/// and concurrent changes by operators. The checks compare the changes that the store has
/// committed with the settings in force and the answers on each VM.
class SettingsSimulation
{
public:
    SettingsSimulation(unsigned seed, const SettingsSyncSettings &settings);

    /// Runs with faults, then without faults, and checks the VMs throughout.
    void run();
    /// Returns a description of each violation that the checks found.
    const std::vector<std::string> &violations() const { return m_violations; }
    /// Returns the number of changes that were answered with this result code.
    std::size_t answered(ResultCode code) const;
    /// Returns the time from commit to acceptance of the last change, which is made after the
    /// faults have ended.
    Duration lastAcceptanceDelay() const { return m_operations.back().acceptanceDelay; }

private:
    /// A heartbeat as its receiver echoes it: the sender's run and when it was sent.
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
        /// Counts the starts of this VM's process.
        unsigned run = 0;
        bool isFrozen = false;
        bool losesDocuments = false;
        /// Messages that arrived while the VM was frozen.
        std::vector<std::function<void()>> deferred;
        /// The member list that the VM knows.
        std::set<std::size_t> memberList;
        /// The last heartbeat received from each other VM.
        std::map<std::size_t, Echo> receivedHeartbeats;
        /// When this run sent the newest heartbeat that each other VM has echoed.
        std::map<std::size_t, SteadyTime> echoed;
        Revision lastServedRevision = 0;
    };

    /// One change by an operator.
    struct Operation
    {
        std::string id;
        Revision expected = 0;
        std::optional<ResultCode> outcome;
        SteadyTime startedAt {};
        /// Time from its commit to its acceptance.
        Duration acceptanceDelay {};
        /// The VM on which the change was made, and the run of its process.
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
    /// Removes the last VM from the member list, or adds it again. Each VM receives the new list at
    /// a time of its own, or at once if `immediately` is set.
    void changeMembers(bool immediately);
    void setMembers(std::size_t index, const std::set<std::size_t> &memberList);
    void freeze(std::size_t index, Duration length);
    void endFaults();
    /// True if the VM has quorum contact and may serve with its settings.
    bool serves(const Vm &vm) const;
    /// Checks that no VM serves a revision older than the accepted one or than one that it served
    /// before.
    void check();
    /// Checks the answers to all changes, and the state of all VMs at the end.
    void checkAnswers();
    void addViolation(const std::string &description);
    Duration milliseconds(unsigned minimum, unsigned maximum);

    static constexpr std::size_t members = 5;

    SettingsSyncSettings m_settings;
    unsigned m_seed;
    std::mt19937 m_random;
    EventQueue m_queue;
    StoreFake m_store;
    std::vector<Vm> m_vms;
    /// Links that lose all messages, as pairs of sender and receiver.
    std::set<std::pair<std::size_t, std::size_t>> m_cuts;
    bool m_faultsEnded = false;
    /// The newest member list, and when it was made.
    std::set<std::size_t> m_memberList;
    SteadyTime m_memberListSince {};
    std::vector<Operation> m_operations;
    /// When each change was committed in the store, by change ID.
    std::map<std::string, SteadyTime> m_committedAt;
    /// The newest revision that was accepted.
    Revision m_acceptedRevision = 0;
    std::vector<std::string> m_violations;
};

} // namespace pimentoward::tests
