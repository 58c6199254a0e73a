#include "tests/Process/SettingsWorld.h"

#include "Pimentoward/Process/OperatorSettings.h"

#include <algorithm>
#include <array>

namespace pimentoward::tests {

namespace {

constexpr std::chrono::seconds faultyTime {30};
constexpr std::chrono::seconds quietTime {16};
constexpr std::chrono::milliseconds tickPeriod {100};
constexpr std::chrono::milliseconds heartbeatPeriod {500};
constexpr std::chrono::milliseconds checkPeriod {50};
constexpr std::chrono::seconds contactTime {2};
constexpr std::chrono::seconds inForceWithin {4};

} // namespace

SettingsWorld::SettingsWorld(unsigned seed, const SettingsKeeperSettings &settings)
    : m_settings(settings)
    , m_seed(seed)
    , m_random(seed)
    , m_store(m_queue, m_random)
    , m_vms(members)
{
    m_store.state().onChange([this](const std::string &key) {
        if (key == SettingsKeeperDriver::storeKey) {
            Reason reason;
            const auto written = SettingsDocument::parse(m_store.state().read(key).value, reason);
            m_committedAt.emplace(written->changeId, m_queue.now());
        }
    });
    for (std::size_t index = 0; index < members; ++index) {
        m_vms[index].id = "vm-" + std::to_string(index);
    }
    for (std::size_t index = 0; index < members; ++index) {
        m_vms[index].store = std::make_unique<StoreFakeClient>(m_store);
        m_vms[index].store->deliverBy(
            [this, index](auto answer) { deliver(index, std::move(answer)); });
        startVm(index);
        m_queue.after(milliseconds(0, 100), [this, index] { tick(index); });
        m_queue.after(milliseconds(0, 500), [this, index] { heartbeat(index); });
    }
}

Duration SettingsWorld::milliseconds(unsigned lowest, unsigned highest)
{
    return std::chrono::milliseconds(lowest + m_random() % (highest - lowest + 1));
}

void SettingsWorld::violate(const std::string &what)
{
    m_violations.push_back("seed " + std::to_string(m_seed) + ": " + what);
}

void SettingsWorld::startVm(std::size_t index)
{
    Vm &vm = m_vms[index];
    ++vm.run;
    vm.heard.clear();
    vm.echoed.clear();
    vm.deferred.clear();
    vm.isFrozen = false;
    SettingsKeeperSettings settings = m_settings;
    settings.self = vm.id;
    const auto indexOf = [this](const MemberId &id) {
        return static_cast<std::size_t>(
            std::find_if(m_vms.begin(), m_vms.end(), [&](const Vm &one) { return one.id == id; })
            - m_vms.begin());
    };
    SettingsKeeperDriver::Hooks hooks;
    hooks.push = [this, index, indexOf](const MemberId &to, const std::string &text) {
        if (m_vms[indexOf(to)].losesDocuments) {
            return;
        }
        send(index, indexOf(to),
             [this, to = indexOf(to), text] { m_vms[to].driver->onDocument(text); });
    };
    hooks.ask = [this, index, indexOf](const MemberId &to) {
        send(index, indexOf(to),
             [this, index, to = indexOf(to)] { m_vms[to].driver->onAsk(m_vms[index].id); });
    };
    hooks.changed = [](const auto &) {};
    vm.driver = std::make_unique<SettingsKeeperDriver>(settings, *vm.store, m_queue.clock(),
                                                       std::move(hooks));
    std::vector<MemberId> ids;
    for (const Vm &one : m_vms) {
        ids.push_back(one.id);
    }
    vm.driver->updateMembers(ids);
}

void SettingsWorld::send(std::size_t from, std::size_t to, std::function<void()> message)
{
    constexpr unsigned lossPercent = 3;
    const bool isLost = !m_quiet && m_random() % 100 < lossPercent;
    if (!isLost && m_cuts.count({from, to}) == 0) {
        m_queue.after(milliseconds(1, 40),
                      [this, to, message = std::move(message)] { deliver(to, message); });
    }
}

void SettingsWorld::deliver(std::size_t to, std::function<void()> message)
{
    if (m_vms[to].isFrozen) {
        m_vms[to].deferred.push_back(std::move(message));
    } else {
        message();
    }
}

void SettingsWorld::tick(std::size_t index)
{
    if (!m_vms[index].isFrozen) {
        m_vms[index].driver->tick();
    }
    m_queue.after(tickPeriod, [this, index] { tick(index); });
}

void SettingsWorld::heartbeat(std::size_t index)
{
    m_queue.after(heartbeatPeriod, [this, index] { heartbeat(index); });
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
        // A VM that has not caught up neither echoes nor counts.
        const auto heard = vm.heard.find(to);
        const Echo echo = ready && heard != vm.heard.end() ? heard->second : Echo {};
        send(index, to, [this, index, to, sent, revision, ready, echo] {
            Vm &receiver = m_vms[to];
            receiver.heard[index] = sent;
            const bool isOwn = echo.run == receiver.run;
            if (isOwn) {
                receiver.echoed[index] = std::max(receiver.echoed[index], echo.sentAt);
            }
            receiver.driver->onReport({m_vms[index].id, revision, ready,
                                       isOwn ? std::optional(echo.sentAt) : std::nullopt});
        });
    }
}

void SettingsWorld::operate()
{
    const std::size_t vm = m_random() % members;
    const Revision expected = m_vms[vm].driver->document()->revision;
    change(vm, expected);
    if (m_random() % 3 == 0) {
        change(m_random() % members, expected);
    }
    if (!m_quiet) {
        m_queue.after(milliseconds(200, 2000), [this] { operate(); });
    }
}

void SettingsWorld::change(std::size_t index, Revision expected)
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
    m_operations.push_back({change.changeId, expected, {}, m_queue.now(), index, vm.run});
    vm.driver->change(change, [this, number](const Reason &outcome, Revision revision) {
        Operation &operation = m_operations[number];
        if (operation.outcome) {
            violate(operation.id + " answered twice");
        }
        operation.outcome = outcome.code;
        const auto committed = m_committedAt.find(operation.id);
        if (outcome.code != ResultCode::Ok) {
            return;
        }
        if (committed == m_committedAt.end()) {
            violate(operation.id + " accepted but not in the store");
            return;
        }
        m_accepted = std::max(m_accepted, revision);
        m_slowestAcceptance
            = std::max<Duration>(m_slowestAcceptance, m_queue.now() - committed->second);
        check();
    });
}

void SettingsWorld::fault()
{
    if (m_quiet) {
        return;
    }
    m_queue.after(milliseconds(200, 3000), [this] { fault(); });
    const std::size_t a = m_random() % members;
    const std::size_t b = (a + 1 + m_random() % (members - 1)) % members;
    const Duration length = milliseconds(500, 6000);
    switch (m_random() % 9) {
    case 0:
    case 1: {
        constexpr std::array faults {
            StoreFault::Down,   StoreFault::LoseAnswers,      StoreFault::Slow,
            StoreFault::Silent, StoreFault::LoseWriteAnswers, StoreFault::LoseWriteAnswers};
        storeFault(faults[m_random() % faults.size()], length);
        break;
    }
    case 2:
        m_vms[a].store->cut(true);
        m_queue.after(length, [this, a] { m_vms[a].store->cut(false); });
        break;
    case 3:
        // Heartbeats still tell of newer revisions, but none can be fetched.
        m_vms[a].losesDocuments = true;
        m_vms[a].store->cut(true);
        m_queue.after(2 * length, [this, a] {
            m_vms[a].losesDocuments = false;
            m_vms[a].store->cut(false);
        });
        break;
    case 4:
        freeze(a, length);
        break;
    case 5:
        startVm(a);
        break;
    case 6:
        // More than half at once, as where a switch or a rack is lost.
        for (std::size_t other = 0; other <= members / 2; ++other) {
            startVm((a + other) % members);
        }
        break;
    default:
        pairFault(a, b, length);
    }
}

/// Lost answers of writes are followed by an outage, in which nothing can be read back.
void SettingsWorld::storeFault(StoreFault fault, Duration length)
{
    m_store.change(fault);
    m_queue.after(length, [this, fault] {
        m_store.change(StoreFault::None);
        if (fault == StoreFault::LoseWriteAnswers && !m_quiet) {
            storeFault(StoreFault::Down, milliseconds(4000, 14'000));
        }
    });
}

void SettingsWorld::pairFault(std::size_t a, std::size_t b, Duration length)
{
    std::vector<std::pair<std::size_t, std::size_t>> cuts {{a, b}};
    if (m_random() % 2 == 0) {
        // One VM cut off from all, in both directions or in one.
        const bool bothWays = m_random() % 2 == 0;
        for (std::size_t other = 0; other < members; ++other) {
            cuts.emplace_back(a, other);
            if (bothWays) {
                cuts.emplace_back(other, a);
            }
        }
    }
    m_cuts.insert(cuts.begin(), cuts.end());
    m_queue.after(length, [this, cuts] {
        for (const auto &cut : cuts) {
            m_cuts.erase(cut);
        }
    });
}

void SettingsWorld::healAll()
{
    m_quiet = true;
    m_cuts.clear();
    m_store.change(StoreFault::None);
    for (Vm &vm : m_vms) {
        vm.store->cut(false);
        vm.losesDocuments = false;
    }
    // Every fault has ended by then. A change must be in force within 4 s of its commit, also
    // where one VM says nothing.
    m_queue.after(std::chrono::seconds(8), [this] {
        if (m_random() % 2 == 0) {
            freeze(members - 1, std::chrono::seconds(5));
        }
        m_slowestAcceptance = {};
        change(0, m_vms[0].driver->document()->revision);
    });
}

void SettingsWorld::freeze(std::size_t index, Duration length)
{
    m_vms[index].isFrozen = true;
    m_queue.after(length, [this, index, run = m_vms[index].run] {
        if (m_vms[index].run != run) {
            return;
        }
        m_vms[index].isFrozen = false;
        const auto deferred = std::move(m_vms[index].deferred);
        m_vms[index].deferred.clear();
        for (const auto &message : deferred) {
            message();
        }
    });
}

bool SettingsWorld::serves(const Vm &vm) const
{
    std::size_t inContact = 1;
    for (const auto &[peer, sentAt] : vm.echoed) {
        inContact += m_queue.now() - sentAt < contactTime ? 1 : 0;
    }
    return !vm.isFrozen && 2 * inContact > members && vm.driver->mayServe();
}

void SettingsWorld::check()
{
    for (Vm &vm : m_vms) {
        if (!serves(vm)) {
            continue;
        }
        const Revision inForce = vm.driver->document()->revision;
        if (inForce < m_accepted) {
            violate(vm.id + " serves revision " + std::to_string(inForce) + " after "
                    + std::to_string(m_accepted) + " was accepted");
        }
        if (inForce < vm.lastServed) {
            violate(vm.id + " goes back from " + std::to_string(vm.lastServed) + " to "
                    + std::to_string(inForce));
        }
        vm.lastServed = inForce;
    }
}

void SettingsWorld::checkAnswers()
{
    std::map<Revision, std::string> winners;
    for (const Operation &operation : m_operations) {
        const bool isWritten = m_committedAt.count(operation.id) > 0;
        if (!operation.outcome) {
            if (m_vms[operation.vm].run == operation.run) {
                violate(operation.id + " was never answered");
            }
            continue;
        }
        const bool saysWritten = operation.outcome == ResultCode::Ok
            || operation.outcome == ResultCode::CommittedNotInForce;
        const bool saysNothing = !saysWritten && operation.outcome != ResultCode::UnsureWrite;
        if ((saysWritten && !isWritten) || (saysNothing && isWritten)) {
            violate(operation.id + " was answered "
                    + std::string(resultCodeInfo(*operation.outcome).name) + ", which is not true");
        }
        if (saysWritten && !winners.emplace(operation.expected, operation.id).second) {
            violate(operation.id + " and " + winners[operation.expected] + " both won the race");
        }
    }
    const auto watchers = std::count_if(m_vms.begin(), m_vms.end(),
                                        [](const Vm &vm) { return vm.driver->isWatcher(); });
    if (watchers != static_cast<std::ptrdiff_t>(m_settings.watchers)) {
        violate(std::to_string(watchers) + " VMs watch the store");
    }
    const Revision last = m_vms[0].driver->document()->revision;
    for (const Vm &vm : m_vms) {
        if (!serves(vm) || vm.driver->document()->revision != last
            || last != m_committedAt.size()) {
            violate(vm.id + " is not in step at the end");
        }
    }
}

std::size_t SettingsWorld::answered(ResultCode code) const
{
    return static_cast<std::size_t>(
        std::count_if(m_operations.begin(), m_operations.end(),
                      [code](const Operation &operation) { return operation.outcome == code; }));
}

void SettingsWorld::run()
{
    m_queue.after(std::chrono::seconds(2), [this] { operate(); });
    m_queue.after(std::chrono::seconds(3), [this] { fault(); });
    const SteadyTime begin = m_queue.now();
    for (SteadyTime at = begin; at < begin + faultyTime + quietTime; at += checkPeriod) {
        if (at >= begin + faultyTime && !m_quiet) {
            healAll();
        }
        m_queue.runUntil(at);
        check();
    }
    checkAnswers();
    if (m_operations.back().outcome != ResultCode::Ok || m_slowestAcceptance > inForceWithin) {
        violate("the last change was not in force in time");
    }
}

} // namespace pimentoward::tests
