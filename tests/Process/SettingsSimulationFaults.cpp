// The part of SettingsSimulation that injects faults and ends them.

#include "tests/Process/SettingsSimulation.h"

#include <array>

namespace pimentoward::tests {

void SettingsSimulation::injectFault()
{
    if (m_faultsEnded) {
        return;
    }
    m_queue.after(milliseconds(200, 3000), [this] { injectFault(); });
    const std::size_t a = m_random() % members;
    const std::size_t b = (a + 1 + m_random() % (members - 1)) % members;
    const Duration length = milliseconds(500, 6000);
    switch (m_random() % 10) {
    case 0:
    case 1: {
        constexpr std::array faults {
            StoreFault::Down,         StoreFault::LoseAnswers,      StoreFault::Slow,
            StoreFault::Unresponsive, StoreFault::LoseWriteAnswers, StoreFault::LoseWriteAnswers};
        injectStoreFault(faults[m_random() % faults.size()], length);
        break;
    }
    case 2:
        m_vms[a].store->cut(true);
        m_queue.after(length, [this, a] { m_vms[a].store->cut(false); });
        break;
    case 3:
        // Heartbeats still report newer revisions, but the VM cannot fetch them.
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
        // Restarts more than half of the VMs at once, as when a switch or a rack fails.
        for (std::size_t other = 0; other <= members / 2; ++other) {
            startVm((a + other) % members);
        }
        break;
    case 7:
        changeMembers(false);
        break;
    default:
        cutLinks(a, b, length);
    }
}

/// Injects a fault of the store. If the fault loses the answers to writes, an outage of the store
/// follows, in which the writes cannot be read back.
void SettingsSimulation::injectStoreFault(StoreFault fault, Duration length)
{
    m_store.change(fault);
    m_queue.after(length, [this, fault] {
        m_store.change(StoreFault::None);
        if (fault == StoreFault::LoseWriteAnswers && !m_faultsEnded) {
            injectStoreFault(StoreFault::Down, milliseconds(4000, 14'000));
        }
    });
}

void SettingsSimulation::cutLinks(std::size_t a, std::size_t b, Duration length)
{
    std::vector<std::pair<std::size_t, std::size_t>> cuts {{a, b}};
    if (m_random() % 2 == 0) {
        // Also cuts one VM off from all others, in one direction or in both.
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

void SettingsSimulation::changeMembers(bool immediately)
{
    // Membership changes the list only once a majority holds the previous one, so changes are at
    // least this far apart.
    constexpr std::chrono::seconds minChangeInterval {9};
    if (!immediately && m_queue.now() < m_memberListSince + minChangeInterval) {
        return;
    }
    m_memberListSince = m_queue.now();
    if (m_memberList.erase(members - 1) == 0) {
        m_memberList.insert(members - 1);
    }
    for (std::size_t index = 0; index < members; ++index) {
        const Duration delay = immediately ? Duration::zero() : milliseconds(0, 2000);
        m_queue.after(delay, [this, index, memberList = m_memberList] {
            deliver(index, [this, index, memberList] {
                if (memberList == m_memberList) {
                    setMembers(index, memberList);
                }
            });
        });
    }
}

void SettingsSimulation::freeze(std::size_t index, Duration length)
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

void SettingsSimulation::endFaults()
{
    m_faultsEnded = true;
    m_cuts.clear();
    m_store.change(StoreFault::None);
    for (Vm &vm : m_vms) {
        vm.store->cut(false);
        vm.losesDocuments = false;
    }
    if (m_memberList.size() < members) {
        changeMembers(true);
    }
    // After this delay, every fault has ended. A change must be accepted within 4 s of its commit,
    // even if one VM is frozen.
    m_queue.after(std::chrono::seconds(8), [this] {
        if (m_random() % 2 == 0) {
            freeze(members - 1, std::chrono::seconds(5));
        }
        startChange(0, m_vms[0].driver->document()->revision);
    });
}

} // namespace pimentoward::tests
