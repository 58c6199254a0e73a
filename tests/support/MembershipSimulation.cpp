#include "tests/support/MembershipSimulation.h"

#include <algorithm>
#include <sstream>

namespace pimentoward::tests {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds stepTime {10};
constexpr milliseconds tickPeriod {30};
constexpr milliseconds warmUp {6000};
constexpr std::size_t mostVms = 5;
constexpr std::size_t backendServers = 2;
const SteadyTime clockStart {std::chrono::hours(1)};

/// Short names, which the search compares millions of times.
MemberId vmName(std::size_t number)
{
    return std::string(1, static_cast<char>('a' + number));
}

} // namespace

MembershipSimulation::MembershipSimulation(const Settings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_longestDelay(milliseconds(settings.mix == FaultMix::Clocks ? 2 : 8))
{
    const std::vector<FailureDomain> domains {"a", "b", "c"};
    const bool probesClocks = m_settings.mix == FaultMix::Clocks;
    const std::size_t members = probesClocks ? 3 : 3 + m_random() % 3;
    m_stored.epoch = 1;
    for (std::size_t index = 0; index < mostVms; ++index) {
        const MemberId id = vmName(index);
        Vm &vm = m_vms[id];
        vm.description = {id, "127.0.0.1", domains[index % domains.size()]};
        vm.rate
            = 1 + m_settings.drift * (chance() < 0.5 ? -1 : 1) * (chance() < 0.5 ? 1 : chance());
        if (probesClocks) {
            vm.rate = 1 + (index == 0 ? -m_settings.drift : m_settings.drift);
        }
        vm.offset = between(0, 1e6);
        vm.isRunning = index < members;
        if (vm.isRunning) {
            m_stored.members[id] = vm.description;
            m_listed.insert(id);
        }
    }
    for (std::size_t index = 0; index < backendServers; ++index) {
        m_servers["s" + std::to_string(index)] = domains[index];
    }
    for (auto &[id, vm] : m_vms) {
        if (vm.isRunning) {
            startVm(vm);
        }
    }
}

double MembershipSimulation::chance()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

Duration MembershipSimulation::between(double lowMillis, double highMillis)
{
    const double millis = lowMillis + (highMillis - lowMillis) * chance();
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
    // Members' heartbeats do not beat together.
    vm.nextTick = m_now + between(0, 500);
    vm.contactUntil = {};
    vm.ownedUntil.clear();
}

bool MembershipSimulation::isIdleProved(Vm &vm, const BackendServerId &server)
{
    // Often the last work ends before its deadline, and its owner sees it end.
    const double endsEarly = m_settings.mix == FaultMix::Clocks ? 0 : 0.05;
    if (chance() < endsEarly) {
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

void MembershipSimulation::cutSome()
{
    Cut cut;
    for (const auto &[id, vm] : m_vms) {
        (chance() < 0.5 ? cut.from : cut.to).insert(id);
    }
    cut.until = m_now + between(200, 6000);
    m_cuts.push_back(cut);
    if (chance() < 0.5) {
        m_cuts.push_back({cut.to, cut.from, cut.until});
    }
}

void MembershipSimulation::cutOne(const MemberId &id)
{
    Cut cut;
    for (const auto &[other, vm] : m_vms) {
        if (other != id) {
            cut.to.insert(other);
        }
    }
    cut.from = {id};
    cut.until = m_now + between(3200, 5000);
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
    const MemberId id = vmName(m_random() % mostVms);
    Vm &vm = m_vms[id];
    constexpr std::size_t fewestVms = 3;
    // The platform replaces VMs one by one: nobody can recover a group that has lost its majority.
    if (!isListComplete()) {
        return;
    }
    if (!vm.isRunning) {
        m_listed.insert(id);
        startVm(vm);
    } else if (m_listed.count(id) > 0 && m_listed.size() > fewestVms) {
        m_listed.erase(id);
        if (chance() < 0.7) {
            vm.membership->leave();
        } else {
            vm.downUntil = m_now + milliseconds(60'000);
            vm.isRunning = false;
        }
    }
}

void MembershipSimulation::injectOneFault()
{
    Vm &vm = m_vms[vmName(m_random() % mostVms)];
    if (m_settings.mix == FaultMix::Clocks) {
        cutOne(vmName(0));
        return;
    }
    // The restarts' share lies between the freezes' and the losses'.
    const double kind = m_settings.mix == FaultMix::Restarts ? 0.65 * chance() : chance();
    if (kind < 0.3) {
        cutSome();
    } else if (kind < 0.5 && m_settings.mix == FaultMix::All) {
        vm.frozenUntil = m_now + between(100, 7000);
    } else if (kind < 0.65 && vm.isRunning) {
        vm.isRunning = false;
        vm.downUntil = m_now + between(0, 2500);
    } else if (kind < 0.75) {
        m_loss = chance() < 0.3 ? 0 : 0.4 * chance();
    } else if (kind < 0.85) {
        m_longestDelay = chance() < 0.4 ? between(2, 10) : between(10, 3000 * chance());
    } else if (kind < 0.92) {
        m_storeDownUntil = m_now + between(1000, 12'000);
    } else if (m_settings.changesMembers) {
        changeVmList();
    }
}

void MembershipSimulation::injectFaults()
{
    while (m_now >= m_nextFault) {
        injectOneFault();
        m_nextFault += between(50, 2.0 * static_cast<double>(m_settings.meanFaultGap.count()));
    }
}

void MembershipSimulation::healAll()
{
    m_cuts.clear();
    m_loss = 0;
    m_longestDelay = milliseconds(8);
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

void MembershipSimulation::post(const MemberId &from, const MemberId &to,
                                std::variant<Heartbeat, MemberRecord> content)
{
    ++m_messages;
    if (isCut(from, to) || chance() < m_loss) {
        return;
    }
    const Duration delay = milliseconds(1)
        + Duration(static_cast<Duration::rep>(static_cast<double>(m_longestDelay.count()) * chance()
                                              * chance()));
    m_network.push({m_now + delay, m_messages, to, std::move(content)});
}

void MembershipSimulation::apply(const MemberId &from, const Membership::Actions &actions)
{
    for (const Membership::Action &action : actions) {
        if (const auto *beat = std::get_if<Membership::SendHeartbeat>(&action)) {
            post(from, beat->to, beat->heartbeat);
        } else if (const auto *list = std::get_if<Membership::SendMemberList>(&action)) {
            post(from, list->to, list->record);
        }
    }
}

void MembershipSimulation::deliver()
{
    std::vector<Message> kept;
    while (!m_network.empty() && m_network.top().at <= m_now) {
        Message message = m_network.top();
        m_network.pop();
        Vm &vm = m_vms.at(message.to);
        if (!vm.isRunning) {
            continue;
        }
        if (m_now < vm.frozenUntil) {
            // It waits in the socket until the process wakes.
            message.at = vm.frozenUntil;
            kept.push_back(std::move(message));
            continue;
        }
        const SteadyTime now = localTime(vm);
        if (const auto *beat = std::get_if<Heartbeat>(&message.content)) {
            apply(message.to, vm.membership->onHeartbeat(*beat, now));
        } else {
            vm.membership->onMemberList(std::get<MemberRecord>(message.content), now);
        }
        publish(vm, now);
    }
    for (Message &message : kept) {
        m_network.push(std::move(message));
    }
}

void MembershipSimulation::useStore(Vm &vm, SteadyTime now)
{
    if (m_now < m_storeDownUntil) {
        return;
    }
    Membership &membership = *vm.membership;
    if (!membership.knowsNewestList()) {
        membership.onStoredList(m_stored, now);
    }
    membership.onVmList(vmList());
    const auto next = membership.proposedChange(now);
    if (!next) {
        return;
    }
    if (next->epoch != m_stored.epoch + 1) {
        membership.onStoredList(m_stored, now);
        return;
    }
    m_stored = *next;
    // The answer of a write that took effect may be lost.
    if (chance() < 0.7) {
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
        const bool restarts = m_now >= vm.downUntil && m_listed.count(vm.description.id) > 0;
        if (restarts) {
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
    constexpr std::uint32_t storeEvery = 16;
    if (m_random() % storeEvery == 0) {
        useStore(vm, now);
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
        m_longestGap = {};
        for (; m_now < end; m_now += stepTime) {
            if (withFaults) {
                injectFaults();
            }
            step();
            check();
        }
        return m_checked == 0 ? 0 : m_owned / m_checked;
    };
    runUntil(warmUp, false);
    m_nextFault = m_now;
    m_result.availabilityUnderFaults = runUntil(m_now + m_settings.faultTime, true);
    m_result.contactUnderFaults = m_inContact / m_steps;
    healAll();
    // A change of the member list that was held up by the faults moves backend servers once more.
    constexpr int mostRounds = 6;
    Epoch last = 0;
    for (int round = 0; round < mostRounds && (last != m_stored.epoch || !isListComplete());
         ++round) {
        last = m_stored.epoch;
        runUntil(m_now + m_settings.recovery, false);
    }
    m_result.availabilityAfterFaults = runUntil(m_now + m_settings.quietTime, false);
    m_result.maxGapAfterFaults = m_longestGap;
    m_result.lastEpoch = m_stored.epoch;
    return m_result;
}

} // namespace pimentoward::tests
