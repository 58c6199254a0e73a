#pragma once

#include "Pimentoward/Process/Membership.h"

#include <memory>
#include <queue>
#include <random>

namespace pimentoward::tests {

/// What one run of the fake group showed.
struct MembershipSimulationResult
{
    /// Steps at which two VMs' work could meet at one backend server.
    std::size_t violations = 0;
    std::string firstViolation;
    /// Share of (backend server, step) with an owner, while faults happen and after their end.
    double availabilityUnderFaults = 0;
    double availabilityAfterFaults = 0;
    /// Longest time without an owner once the group has recovered; a handover takes some.
    Duration maxGapAfterFaults {};
    /// Share of steps under faults in which any VM had quorum contact: no owner can be without.
    double contactUnderFaults = 0;
    Epoch lastEpoch = 0;
};

/// A small group of members on a virtual clock, over a network and a store that fail at random.
/// The checker knows the true time and what each member believes.
class MembershipSimulation
{
public:
    /// Which faults happen.
    enum class FaultMix {
        All,
        /// Restarts and cuts only.
        Restarts,
        /// One slow member among fast ones, cut off again and again: what it takes to see a
        /// difference of some tens of milliseconds.
        Clocks
    };
    struct Settings
    {
        MembershipSettings membership;
        std::uint32_t seed = 1;
        double drift = 0.01;
        std::chrono::milliseconds faultTime {25000};
        /// Time that the group gets, after the faults' end and after each change of its list that
        /// follows, to recover before availability must be whole.
        std::chrono::milliseconds recovery {5000};
        std::chrono::milliseconds quietTime {3000};
        /// Mean time between two faults.
        std::chrono::milliseconds meanFaultGap {900};
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
        double rate = 1;
        Duration offset {};
        Duration frozenUntil {};
        Duration downUntil {};
        bool isRunning = true;
        Duration nextTick {};
        SteadyTime contactUntil {};
        std::map<BackendServerId, SteadyTime> ownedUntil;
        /// True time until which its work may be at each backend server.
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
    struct Cut
    {
        std::set<MemberId> from;
        std::set<MemberId> to;
        Duration until;
    };

    double chance();
    Duration between(double lowMillis, double highMillis);
    SteadyTime localTime(const Vm &vm) const;
    void startVm(Vm &vm);
    bool isIdleProved(Vm &vm, const BackendServerId &server);
    void injectFaults();
    void injectOneFault();
    void cutSome();
    void cutOne(const MemberId &id);
    bool isListComplete() const;
    void changeVmList();
    void healAll();
    void step();
    void deliver();
    void runVm(Vm &vm);
    void useStore(Vm &vm, SteadyTime now);
    void apply(const MemberId &from, const Membership::Actions &actions);
    void post(const MemberId &from, const MemberId &to,
              std::variant<Heartbeat, MemberRecord> content);
    bool isCut(const MemberId &from, const MemberId &to) const;
    void publish(Vm &vm, SteadyTime now);
    bool hasContact(const Vm &vm) const;
    void check();
    void checkDispatch(const MemberId &id, Vm &vm, const BackendServerId &server);
    std::vector<VmRecord> vmList() const;

    Settings m_settings;
    std::mt19937 m_random;
    Duration m_now {};
    std::map<MemberId, Vm> m_vms;
    std::map<BackendServerId, FailureDomain> m_servers;
    std::priority_queue<Message, std::vector<Message>, std::greater<>> m_network;
    std::vector<Cut> m_cuts;
    std::set<MemberId> m_listed;
    MemberRecord m_stored;
    Duration m_storeDownUntil {};
    double m_loss = 0;
    Duration m_longestDelay {};
    Duration m_nextFault {};
    std::uint64_t m_messages = 0;
    Incarnation m_lastIncarnation = 0;
    /// When each backend server had an owner last.
    std::map<BackendServerId, Duration> m_lastOwned;
    Duration m_longestGap {};
    /// Counted by the checker since the last phase began.
    double m_owned = 0;
    double m_checked = 0;
    double m_inContact = 0;
    double m_steps = 0;
    MembershipSimulationResult m_result;
};

} // namespace pimentoward::tests
