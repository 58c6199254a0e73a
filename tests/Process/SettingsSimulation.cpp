#include "tests/Process/SettingsSimulation.h"

#include "Pimentoward/Process/OperatorSettings.h"

#include <algorithm>

namespace pimentoward::tests {

namespace {

constexpr std::chrono::seconds faultTime {30};
constexpr std::chrono::seconds faultFreeTime {16};
constexpr std::chrono::milliseconds tickPeriod {100};
constexpr std::chrono::milliseconds heartbeatPeriod {500};
constexpr std::chrono::milliseconds checkPeriod {50};
constexpr std::chrono::seconds contactTime {2};
constexpr std::chrono::seconds acceptanceTimeLimit {4};

} // namespace

SettingsSimulation::SettingsSimulation(unsigned seed, const SettingsSyncSettings &settings)
    : m_settings(settings)
    , m_seed(seed)
    , m_random(seed)
    , m_store(m_queue, m_random)
    , m_vms(members)
{
    m_store.state().onChange([this](const std::string &key) {
        if (key == SettingsSyncDriver::storeKey) {
            Reason reason;
            const auto written = SettingsDocument::parse(m_store.state().read(key).value, reason);
            m_committedAt.emplace(written->changeId, m_queue.now());
        }
    });
    for (std::size_t index = 0; index < members; ++index) {
        m_vms[index].id = "vm-" + std::to_string(index);
        m_memberList.insert(index);
    }
    for (std::size_t index = 0; index < members; ++index) {
        m_vms[index].store = std::make_unique<StoreFakeClient>(m_store);
        m_vms[index].store->deliverBy(
            [this, index](auto answer) { deliver(index, std::move(answer)); });
        startVm(index);
        m_queue.after(milliseconds(0, 100), [this, index] { tick(index); });
        m_queue.after(milliseconds(0, 500), [this, index] { sendHeartbeats(index); });
    }
}

Duration SettingsSimulation::milliseconds(unsigned minimum, unsigned maximum)
{
    return std::chrono::milliseconds(minimum + m_random() % (maximum - minimum + 1));
}

void SettingsSimulation::addViolation(const std::string &description)
{
    m_violations.push_back("seed " + std::to_string(m_seed) + ": " + description);
}

void SettingsSimulation::startVm(std::size_t index)
{
    Vm &vm = m_vms[index];
    ++vm.run;
    vm.receivedHeartbeats.clear();
    vm.echoed.clear();
    vm.deferred.clear();
    vm.isFrozen = false;
    SettingsSyncSettings settings = m_settings;
    settings.self = vm.id;
    const auto indexOf = [this](const MemberId &id) {
        return static_cast<std::size_t>(
            std::find_if(m_vms.begin(), m_vms.end(),
                         [&](const Vm &candidate) { return candidate.id == id; })
            - m_vms.begin());
    };
    SettingsSyncDriver::Hooks hooks;
    hooks.sendDocument = [this, index, indexOf](const MemberId &to, const std::string &text) {
        if (m_vms[indexOf(to)].losesDocuments) {
            return;
        }
        send(index, indexOf(to),
             [this, to = indexOf(to), text] { m_vms[to].driver->onDocument(text); });
    };
    hooks.requestDocument = [this, index, indexOf](const MemberId &to) {
        send(index, indexOf(to), [this, index, to = indexOf(to)] {
            m_vms[to].driver->onDocumentRequest(m_vms[index].id);
        });
    };
    hooks.documentChanged = [](const auto &) {};
    vm.driver = std::make_unique<SettingsSyncDriver>(settings, *vm.store, m_queue.clock(),
                                                     std::move(hooks));
    setMembers(index, m_memberList);
}

void SettingsSimulation::setMembers(std::size_t index, const std::set<std::size_t> &memberList)
{
    std::vector<MemberId> ids;
    ids.reserve(memberList.size());
    for (const std::size_t member : memberList) {
        ids.push_back(m_vms[member].id);
    }
    m_vms[index].memberList = memberList;
    m_vms[index].driver->updateMembers(ids);
}

void SettingsSimulation::send(std::size_t from, std::size_t to, std::function<void()> message)
{
    constexpr unsigned lossPercent = 3;
    const bool isLost = !m_faultsEnded && m_random() % 100 < lossPercent;
    if (!isLost && m_cuts.count({from, to}) == 0) {
        m_queue.after(milliseconds(1, 40),
                      [this, to, message = std::move(message)] { deliver(to, message); });
    }
}

void SettingsSimulation::deliver(std::size_t to, std::function<void()> message)
{
    if (m_vms[to].isFrozen) {
        m_vms[to].deferred.push_back(std::move(message));
    } else {
        message();
    }
}

void SettingsSimulation::tick(std::size_t index)
{
    if (!m_vms[index].isFrozen) {
        m_vms[index].driver->tick();
    }
    m_queue.after(tickPeriod, [this, index] { tick(index); });
}

void SettingsSimulation::sendHeartbeats(std::size_t index)
{
    m_queue.after(heartbeatPeriod, [this, index] { sendHeartbeats(index); });
    const Vm &vm = m_vms[index];
    if (vm.isFrozen) {
        return;
    }
    const Echo sent {vm.run, m_queue.now()};
    const Revision revision = vm.driver->document()->revision;
    const bool ready = vm.driver->isReady();
    for (std::size_t to = 0; to < members; ++to) {
        if (to == index) {
            continue;
        }
        // A VM that has not caught up does not echo heartbeats.
        const auto heard = vm.receivedHeartbeats.find(to);
        const Echo echo = ready && heard != vm.receivedHeartbeats.end() ? heard->second : Echo {};
        send(index, to, [this, index, to, sent, revision, ready, echo] {
            Vm &receiver = m_vms[to];
            receiver.receivedHeartbeats[index] = sent;
            const bool isOwn = echo.run == receiver.run;
            if (isOwn) {
                receiver.echoed[index] = std::max(receiver.echoed[index], echo.sentAt);
            }
            receiver.driver->onReport({m_vms[index].id, revision, ready,
                                       isOwn ? std::optional(echo.sentAt) : std::nullopt});
        });
    }
}

void SettingsSimulation::makeChanges()
{
    const std::size_t vm = m_random() % members;
    const Revision expected = m_vms[vm].driver->document()->revision;
    startChange(vm, expected);
    if (m_random() % 3 == 0) {
        startChange(m_random() % members, expected);
    }
    if (!m_faultsEnded) {
        m_queue.after(milliseconds(200, 2000), [this] { makeChanges(); });
    }
}

void SettingsSimulation::startChange(std::size_t index, Revision expected)
{
    Vm &vm = m_vms[index];
    if (vm.isFrozen) {
        return;
    }
    const std::size_t number = m_operations.size();
    SettingsChange change;
    change.changeId = "change-" + std::to_string(number);
    change.expectedRevision = expected;
    change.setting = operator_settings::entryQueueLimit;
    change.value = std::to_string(number + 1);
    m_operations.push_back({change.changeId, expected, {}, m_queue.now(), {}, index, vm.run});
    vm.driver->change(change, [this, number](const Reason &outcome, Revision revision) {
        Operation &operation = m_operations[number];
        if (operation.outcome) {
            addViolation(operation.id + " was answered twice");
        }
        operation.outcome = outcome.code;
        const auto committed = m_committedAt.find(operation.id);
        if (outcome.code != ResultCode::Ok) {
            return;
        }
        if (committed == m_committedAt.end()) {
            addViolation(operation.id + " was accepted but is not in the store");
            return;
        }
        m_acceptedRevision = std::max(m_acceptedRevision, revision);
        operation.acceptanceDelay = m_queue.now() - committed->second;
        check();
    });
}

bool SettingsSimulation::serves(const Vm &vm) const
{
    std::size_t contactCount = 0;
    for (const std::size_t member : vm.memberList) {
        const auto echo = vm.echoed.find(member);
        const bool isEchoed = echo != vm.echoed.end() && m_queue.now() - echo->second < contactTime;
        contactCount += m_vms[member].id == vm.id || isEchoed ? 1 : 0;
    }
    return !vm.isFrozen && 2 * contactCount > vm.memberList.size() && vm.driver->mayServe();
}

void SettingsSimulation::check()
{
    for (Vm &vm : m_vms) {
        if (!serves(vm)) {
            continue;
        }
        const Revision inForce = vm.driver->document()->revision;
        if (inForce < m_acceptedRevision) {
            addViolation(vm.id + " serves revision " + std::to_string(inForce) + " after "
                         + std::to_string(m_acceptedRevision) + " was accepted");
        }
        if (inForce < vm.lastServedRevision) {
            addViolation(vm.id + " went back from revision " + std::to_string(vm.lastServedRevision)
                         + " to " + std::to_string(inForce));
        }
        vm.lastServedRevision = inForce;
    }
}

void SettingsSimulation::checkAnswers()
{
    std::map<Revision, std::string> committedChanges;
    for (const Operation &operation : m_operations) {
        const bool isCommitted = m_committedAt.count(operation.id) > 0;
        if (!operation.outcome) {
            if (m_vms[operation.vm].run == operation.run) {
                addViolation(operation.id + " was never answered");
            }
            continue;
        }
        const bool isReportedCommitted = operation.outcome == ResultCode::Ok
            || operation.outcome == ResultCode::CommittedNotInForce;
        const bool isReportedNotCommitted
            = !isReportedCommitted && operation.outcome != ResultCode::UnsureWrite;
        if ((isReportedCommitted && !isCommitted) || (isReportedNotCommitted && isCommitted)) {
            addViolation(operation.id + " was answered "
                         + std::string(resultCodeInfo(*operation.outcome).name)
                         + ", which contradicts the store");
        }
        if (isReportedCommitted
            && !committedChanges.emplace(operation.expected, operation.id).second) {
            addViolation(operation.id + " and " + committedChanges[operation.expected]
                         + " were both committed on the same revision");
        }
    }
    const auto watchers = std::count_if(m_vms.begin(), m_vms.end(),
                                        [](const Vm &vm) { return vm.driver->isWatcher(); });
    if (watchers != static_cast<std::ptrdiff_t>(m_settings.watcherCount)) {
        addViolation(std::to_string(watchers)
                     + " VMs watch the store, which is not the number in the settings");
    }
    const Revision last = m_vms[0].driver->document()->revision;
    for (const Vm &vm : m_vms) {
        if (!serves(vm) || vm.driver->document()->revision != last
            || last != m_committedAt.size()) {
            addViolation(vm.id + " does not serve the last revision at the end");
        }
    }
}

std::size_t SettingsSimulation::answered(ResultCode code) const
{
    return static_cast<std::size_t>(
        std::count_if(m_operations.begin(), m_operations.end(),
                      [code](const Operation &operation) { return operation.outcome == code; }));
}

void SettingsSimulation::run()
{
    m_queue.after(std::chrono::seconds(2), [this] { makeChanges(); });
    m_queue.after(std::chrono::seconds(3), [this] { injectFault(); });
    const SteadyTime begin = m_queue.now();
    for (SteadyTime at = begin; at < begin + faultTime + faultFreeTime; at += checkPeriod) {
        if (at >= begin + faultTime && !m_faultsEnded) {
            endFaults();
        }
        m_queue.runUntil(at);
        check();
    }
    checkAnswers();
    if (m_operations.back().outcome != ResultCode::Ok
        || lastAcceptanceDelay() > acceptanceTimeLimit) {
        const auto &outcome = m_operations.back().outcome;
        addViolation(
            m_operations.back().id + " was not accepted in time: "
            + std::string(outcome ? resultCodeInfo(*outcome).name : "no answer") + " after "
            + std::to_string(std::chrono::duration<double>(lastAcceptanceDelay()).count()) + " s");
    }
}

} // namespace pimentoward::tests
