#pragma once

#include "Pimentoward/Process/Membership.h"

#include <memory>
#include <queue>
#include <random>

namespace pimentoward::tests {

/// The result of one run of MembershipSimulation.
struct MembershipSimulationResult
{
    /// Number of cases, over all steps, in which a VM may dispatch to a backend server while work
    /// of another VM may still run there.
    std::size_t violations = 0;
    std::string firstViolation;
    /// Share of all pairs of a backend server and a step in which the backend server has an owner,
    /// during the faults and after the recovery from them.
    double availabilityUnderFaults = 0;
    double availabilityAfterFaults = 0;
    /// Longest time that a backend server is without an owner after the recovery. A handover causes
    /// a short gap.
    Duration maxGapAfterFaults {};
    /// Share of the steps under faults in which at least one VM has quorum contact. Without it no
    /// backend server can have an owner.
    double contactUnderFaults = 0;
    Epoch lastEpoch = 0;
};

/// Simulates a small group of members on a virtual clock, with a network and a store that fail at
/// random. The checks use the true time and the state of each member.
class MembershipSimulation
{
public:
    /// The kinds of faults that happen in a run.
    enum class FaultMix {
        All,
        /// Only restarts and network cuts, and message loss where a restart was chosen for a VM
        /// that is not running.
        Restarts,
        /// One member with a slow clock among members with fast clocks. It is isolated repeatedly,
        /// which reveals timing errors of some tens of milliseconds.
        Clocks
    };
    struct Settings
    {
        MembershipSettings membership;
        std::uint32_t seed = 1;
        /// Maximum relative deviation of the rate of a member's clock.
        double drift = 0.01;
        /// Duration of the phase with faults.
        std::chrono::milliseconds faultTime {25000};
        /// Time for the recovery after the end of the faults, and again after each later change of
        /// the member list. Availability is measured after it.
        std::chrono::milliseconds recovery {5000};
        /// Duration of the last phase, without faults, in which availability is measured.
        std::chrono::milliseconds faultFreeTime {3000};
        /// Mean time between two faults.
        std::chrono::milliseconds meanFaultGap {900};
        /// Adds and removes VMs during the faults.
        bool changesMembers = true;
        FaultMix mix = FaultMix::All;
    };

    explicit MembershipSimulation(const Settings &settings);
    /// Runs the whole scenario of the seed.
    MembershipSimulationResult run();

private:
    struct Vm
    {
        Member description;
        std::unique_ptr<Membership> membership;
        /// Rate of the local clock relative to the true time, and its offset from it.
        double rate = 1;
        Duration offset {};
        /// True times at which a freeze ends and at which a stopped VM restarts.
        Duration frozenUntil {};
        Duration downUntil {};
        bool isRunning = true;
        Duration nextTick {};
        /// Local times until which it has quorum contact and owns each backend server.
        SteadyTime contactUntil {};
        std::map<BackendServerId, SteadyTime> ownedUntil;
        /// True time until which its work may still run at each backend server.
        std::map<BackendServerId, Duration> workUntil;
    };
    struct Message
    {
        Duration at;
        std::uint64_t number;
        MemberId to;
        std::variant<Heartbeat, MemberRecord> content;
        bool operator>(const Message &other) const
        {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };
    /// Drops all messages from one set of members to another for a time.
    struct Cut
    {
        std::set<MemberId> from;
        std::set<MemberId> to;
        Duration until;
    };

    /// Returns a random number in [0, 1).
    double randomShare();
    Duration randomDuration(double minMillis, double maxMillis);
    SteadyTime localTime(const Vm &vm) const;
    void startVm(Vm &vm);
    /// True if it is proved that this VM's last work at the backend server has ended.
    bool isIdleProved(Vm &vm, const BackendServerId &server);
    void injectFaults();
    void injectOneFault();
    /// Cuts the network between two random groups, in one direction or in both.
    void cutRandomGroups();
    /// Cuts the network between one member and all others, in both directions.
    void isolate(const MemberId &id);
    /// True if the stored member list holds exactly the VMs of the platform's list.
    bool isListComplete() const;
    void changeVmList();
    void clearFaults();
    void step();
    void deliver();
    void runVm(Vm &vm);
    void synchronizeWithStore(Vm &vm, SteadyTime now);
    void apply(const MemberId &from, const Membership::Actions &actions);
    void send(const MemberId &from, const MemberId &to,
              std::variant<Heartbeat, MemberRecord> content);
    bool isCut(const MemberId &from, const MemberId &to) const;
    /// Updates the times until which the VM has quorum contact and owns backend servers, and thus
    /// may dispatch.
    void publish(Vm &vm, SteadyTime now);
    /// True if the VM is running, is not frozen and has quorum contact by its own clock.
    bool hasContact(const Vm &vm) const;
    /// Measures availability in this step and checks every owner.
    void check();
    /// Records that the VM may dispatch to the backend server now. Counts a violation if work of
    /// another VM may still run there.
    void checkDispatch(const MemberId &id, Vm &vm, const BackendServerId &server);
    std::vector<VmRecord> vmList() const;

    Settings m_settings;
    std::mt19937 m_random;
    Duration m_now {};
    std::map<MemberId, Vm> m_vms;
    std::map<BackendServerId, FailureDomain> m_servers;
    std::priority_queue<Message, std::vector<Message>, std::greater<>> m_network;
    std::vector<Cut> m_cuts;
    /// The VMs in the platform's list.
    std::set<MemberId> m_listed;
    /// The member list in the store.
    MemberRecord m_stored;
    Duration m_storeDownUntil {};
    double m_lossShare = 0;
    Duration m_maxDelay {};
    Duration m_nextFault {};
    std::uint64_t m_messages = 0;
    Incarnation m_lastIncarnation = 0;
    /// The last time at which each backend server had an owner.
    std::map<BackendServerId, Duration> m_lastOwned;
    Duration m_maxGap {};
    /// Counts since the start of the current phase: pairs of a backend server and a step that have
    /// an owner, all such pairs, steps in which a VM has quorum contact, and all steps.
    double m_owned = 0;
    double m_checked = 0;
    double m_inContact = 0;
    double m_steps = 0;
    MembershipSimulationResult m_result;
};

} // namespace pimentoward::tests
