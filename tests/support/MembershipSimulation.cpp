#include "tests/support/MembershipSimulation.h"

#include <algorithm>
#include <sstream>

namespace pimentoward::tests {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds stepTime {10};
constexpr milliseconds tickPeriod {30};
constexpr milliseconds warmUpTime {6000};
constexpr std::size_t maxVms = 5;
constexpr std::size_t backendServerCount = 2;
const SteadyTime clockStart {std::chrono::hours(1)};

/// Returns a name of one letter, because the simulation compares names millions of times.
MemberId vmName(std::size_t number)
{
    return std::string(1, static_cast<char>('a' + number));
}

} // namespace

MembershipSimulation::MembershipSimulation(const Settings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_maxDelay(milliseconds(settings.mix == FaultMix::Clocks ? 2 : 8))
{
    const std::vector<FailureDomain> domains {"a", "b", "c"};
    const bool testsClocks = m_settings.mix == FaultMix::Clocks;
    const std::size_t memberCount = testsClocks ? 3 : 3 + m_random() % 3;
    m_stored.epoch = 1;
    for (std::size_t index = 0; index < maxVms; ++index) {
        const MemberId id = vmName(index);
        Vm &vm = m_vms[id];
        vm.description = {id, "127.0.0.1", domains[index % domains.size()]};
        vm.rate = 1
            + m_settings.drift * (randomShare() < 0.5 ? -1 : 1)
                * (randomShare() < 0.5 ? 1 : randomShare());
        if (testsClocks) {
            vm.rate = 1 + (index == 0 ? -m_settings.drift : m_settings.drift);
        }
        vm.offset = randomDuration(0, 1e6);
        vm.isRunning = index < memberCount;
        if (vm.isRunning) {
            m_stored.members[id] = vm.description;
            m_listed.insert(id);
        }
    }
    for (std::size_t index = 0; index < backendServerCount; ++index) {
        m_servers["s" + std::to_string(index)] = domains[index];
    }
    for (auto &[id, vm] : m_vms) {
        if (vm.isRunning) {
            startVm(vm);
        }
    }
}

double MembershipSimulation::randomShare()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

Duration MembershipSimulation::randomDuration(double minMillis, double maxMillis)
{
    const double millis = minMillis + (maxMillis - minMillis) * randomShare();
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(millis));
}

SteadyTime MembershipSimulation::localTime(const Vm &vm) const
{
    return clockStart + vm.offset
        + Duration(static_cast<Duration::rep>(static_cast<double>(m_now.count()) * vm.rate));
}

void MembershipSimulation::startVm(Vm &vm)
{
    const SteadyTime now = localTime(vm);
    vm.membership = std::make_unique<Membership>(m_settings.membership, vm.description,
                                                 ++m_lastIncarnation, now);
    vm.membership->updateBackendServers(m_servers);
    vm.membership->setIdleHook(
        [this, &vm](const BackendServerId &server) { return isIdleProved(vm, server); });
    vm.isRunning = true;
    vm.frozenUntil = {};
    // The members send their heartbeats at different times.
    vm.nextTick = m_now + randomDuration(0, 500);
    vm.contactUntil = {};
    vm.ownedUntil.clear();
}

bool MembershipSimulation::isIdleProved(Vm &vm, const BackendServerId &server)
{
    // The last work can end before its deadline, and its owner then knows that it has ended.
    const double earlyEndShare = m_settings.mix == FaultMix::Clocks ? 0 : 0.05;
    if (randomShare() < earlyEndShare) {
        vm.workUntil[server] = std::min(vm.workUntil[server], m_now);
    }
    return m_now >= vm.workUntil[server];
}

std::vector<VmRecord> MembershipSimulation::vmList() const
{
    std::vector<VmRecord> result;
    for (const MemberId &id : m_listed) {
        const Member &member = m_vms.at(id).description;
        result.push_back({id, member.host, member.failureDomain, false});
    }
    return result;
}

void MembershipSimulation::cutRandomGroups()
{
    Cut cut;
    for (const auto &[id, vm] : m_vms) {
        (randomShare() < 0.5 ? cut.from : cut.to).insert(id);
    }
    cut.until = m_now + randomDuration(200, 6000);
    m_cuts.push_back(cut);
    if (randomShare() < 0.5) {
        m_cuts.push_back({cut.to, cut.from, cut.until});
    }
}

void MembershipSimulation::isolate(const MemberId &id)
{
    Cut cut;
    for (const auto &[other, vm] : m_vms) {
        if (other != id) {
            cut.to.insert(other);
        }
    }
    cut.from = {id};
    cut.until = m_now + randomDuration(3200, 5000);
    m_cuts.push_back(cut);
    m_cuts.push_back({cut.to, cut.from, cut.until});
}

bool MembershipSimulation::isListComplete() const
{
    return m_stored.members.size() == m_listed.size()
        && std::all_of(m_listed.begin(), m_listed.end(),
                       [this](const MemberId &id) { return m_stored.members.count(id) > 0; });
}

void MembershipSimulation::changeVmList()
{
    const MemberId id = vmName(m_random() % maxVms);
    Vm &vm = m_vms[id];
    constexpr std::size_t minVms = 3;
    // The platform replaces VMs one at a time, because a group that has lost its majority cannot
    // recover.
    if (!isListComplete()) {
        return;
    }
    if (!vm.isRunning) {
        m_listed.insert(id);
        startVm(vm);
    } else if (m_listed.count(id) > 0 && m_listed.size() > minVms) {
        m_listed.erase(id);
        if (randomShare() < 0.7) {
            vm.membership->leave();
        } else {
            vm.downUntil = m_now + milliseconds(60'000);
            vm.isRunning = false;
        }
    }
}

void MembershipSimulation::injectOneFault()
{
    Vm &vm = m_vms[vmName(m_random() % maxVms)];
    if (m_settings.mix == FaultMix::Clocks) {
        isolate(vmName(0));
        return;
    }
    // Values below 0.65 select cuts and restarts, since freezes need FaultMix::All. If the VM is
    // not running, the share of lost messages changes instead of a restart.
    const double faultKind
        = m_settings.mix == FaultMix::Restarts ? 0.65 * randomShare() : randomShare();
    if (faultKind < 0.3) {
        cutRandomGroups();
    } else if (faultKind < 0.5 && m_settings.mix == FaultMix::All) {
        vm.frozenUntil = m_now + randomDuration(100, 7000);
    } else if (faultKind < 0.65 && vm.isRunning) {
        vm.isRunning = false;
        vm.downUntil = m_now + randomDuration(0, 2500);
    } else if (faultKind < 0.75) {
        m_lossShare = randomShare() < 0.3 ? 0 : 0.4 * randomShare();
    } else if (faultKind < 0.85) {
        m_maxDelay = randomShare() < 0.4 ? randomDuration(2, 10)
                                         : randomDuration(10, 3000 * randomShare());
    } else if (faultKind < 0.92) {
        m_storeDownUntil = m_now + randomDuration(1000, 12'000);
    } else if (m_settings.changesMembers) {
        changeVmList();
    }
}

void MembershipSimulation::injectFaults()
{
    while (m_now >= m_nextFault) {
        injectOneFault();
        m_nextFault
            += randomDuration(50, 2.0 * static_cast<double>(m_settings.meanFaultGap.count()));
    }
}

void MembershipSimulation::clearFaults()
{
    m_cuts.clear();
    m_lossShare = 0;
    m_maxDelay = milliseconds(8);
    m_storeDownUntil = {};
    for (auto &[id, vm] : m_vms) {
        vm.frozenUntil = {};
        if (!vm.isRunning && (m_listed.count(id) > 0)) {
            startVm(vm);
        }
    }
}

bool MembershipSimulation::isCut(const MemberId &from, const MemberId &to) const
{
    return std::any_of(m_cuts.begin(), m_cuts.end(), [&](const Cut &cut) {
        return m_now < cut.until && cut.from.count(from) > 0 && cut.to.count(to) > 0;
    });
}

void MembershipSimulation::send(const MemberId &from, const MemberId &to,
                                std::variant<Heartbeat, MemberRecord> content)
{
    ++m_messages;
    if (isCut(from, to) || randomShare() < m_lossShare) {
        return;
    }
    const Duration delay = milliseconds(1)
        + Duration(static_cast<Duration::rep>(static_cast<double>(m_maxDelay.count())
                                              * randomShare() * randomShare()));
    m_network.push({m_now + delay, m_messages, to, std::move(content)});
}

void MembershipSimulation::apply(const MemberId &from, const Membership::Actions &actions)
{
    for (const Membership::Action &action : actions) {
        if (const auto *sendHeartbeat = std::get_if<Membership::SendHeartbeat>(&action)) {
            send(from, sendHeartbeat->to, sendHeartbeat->heartbeat);
        } else if (const auto *sendList = std::get_if<Membership::SendMemberList>(&action)) {
            send(from, sendList->to, sendList->record);
        }
    }
}

void MembershipSimulation::deliver()
{
    std::vector<Message> delayed;
    while (!m_network.empty() && m_network.top().at <= m_now) {
        Message message = m_network.top();
        m_network.pop();
        Vm &vm = m_vms.at(message.to);
        if (!vm.isRunning) {
            continue;
        }
        if (m_now < vm.frozenUntil) {
            // The message stays in the socket buffer until the process resumes.
            message.at = vm.frozenUntil;
            delayed.push_back(std::move(message));
            continue;
        }
        const SteadyTime now = localTime(vm);
        if (const auto *heartbeat = std::get_if<Heartbeat>(&message.content)) {
            apply(message.to, vm.membership->onHeartbeat(*heartbeat, now));
        } else {
            vm.membership->onMemberList(std::get<MemberRecord>(message.content), now);
        }
        publish(vm, now);
    }
    for (Message &message : delayed) {
        m_network.push(std::move(message));
    }
}

void MembershipSimulation::synchronizeWithStore(Vm &vm, SteadyTime now)
{
    if (m_now < m_storeDownUntil) {
        return;
    }
    Membership &membership = *vm.membership;
    if (!membership.knowsNewestList()) {
        membership.onStoredList(m_stored, now);
    }
    membership.onVmList(vmList());
    const auto proposed = membership.proposedChange(now);
    if (!proposed) {
        return;
    }
    if (proposed->epoch != m_stored.epoch + 1) {
        membership.onStoredList(m_stored, now);
        return;
    }
    m_stored = *proposed;
    // The answer to a write that took effect can be lost.
    if (randomShare() < 0.7) {
        membership.onStoredList(m_stored, now);
    }
}

void MembershipSimulation::publish(Vm &vm, SteadyTime now)
{
    vm.contactUntil = vm.membership->contactUntil(now);
    vm.ownedUntil = vm.membership->ownedUntil(now);
}

void MembershipSimulation::runVm(Vm &vm)
{
    if (!vm.isRunning) {
        const bool isRestartDue = m_now >= vm.downUntil && m_listed.count(vm.description.id) > 0;
        if (isRestartDue) {
            startVm(vm);
        }
        return;
    }
    if (m_now < vm.frozenUntil || m_now < vm.nextTick) {
        return;
    }
    vm.nextTick = m_now + (m_settings.mix == FaultMix::Clocks ? stepTime : tickPeriod);
    const SteadyTime now = localTime(vm);
    apply(vm.description.id, vm.membership->tick(now));
    constexpr std::uint32_t ticksPerStoreAccess = 16;
    if (m_random() % ticksPerStoreAccess == 0) {
        synchronizeWithStore(vm, now);
    }
    publish(vm, now);
    const bool hasLeft = vm.membership->isLeaving() && !vm.membership->holdsBackendServers()
        && m_listed.count(vm.description.id) == 0;
    if (hasLeft) {
        vm.isRunning = false;
    }
}

void MembershipSimulation::step()
{
    deliver();
    for (auto &[id, vm] : m_vms) {
        runVm(vm);
    }
}

MembershipSimulationResult MembershipSimulation::run()
{
    const auto runUntil = [this](Duration end, bool withFaults) {
        m_owned = m_checked = m_inContact = m_steps = 0;
        m_maxGap = {};
        for (; m_now < end; m_now += stepTime) {
            if (withFaults) {
                injectFaults();
            }
            step();
            check();
        }
        return m_checked == 0 ? 0 : m_owned / m_checked;
    };
    runUntil(warmUpTime, false);
    m_nextFault = m_now;
    m_result.availabilityUnderFaults = runUntil(m_now + m_settings.faultTime, true);
    m_result.contactUnderFaults = m_inContact / m_steps;
    clearFaults();
    // A change of the member list that the faults have delayed moves backend servers once more, so
    // each such change gets its own time for recovery.
    constexpr int maxRounds = 6;
    Epoch lastEpoch = 0;
    for (int round = 0; round < maxRounds && (lastEpoch != m_stored.epoch || !isListComplete());
         ++round) {
        lastEpoch = m_stored.epoch;
        runUntil(m_now + m_settings.recovery, false);
    }
    m_result.availabilityAfterFaults = runUntil(m_now + m_settings.faultFreeTime, false);
    m_result.maxGapAfterFaults = m_maxGap;
    m_result.lastEpoch = m_stored.epoch;
    return m_result;
}

} // namespace pimentoward::tests
