#include "tests/support/MembershipSimulation.h"

#include <algorithm>
#include <sstream>

namespace pimentoward::tests {

using std::chrono::milliseconds;

bool MembershipSimulation::hasContact(const Vm &vm) const
{
    return vm.isRunning && m_now >= vm.frozenUntil && localTime(vm) < vm.contactUntil;
}

void MembershipSimulation::check()
{
    bool hasAnyContact = false;
    for (auto &[id, vm] : m_vms) {
        if (!hasContact(vm)) {
            continue;
        }
        hasAnyContact = true;
        for (const auto &[server, until] : vm.ownedUntil) {
            if (localTime(vm) < until) {
                m_owned += 1;
                m_lastOwned[server] = m_now;
                checkDispatch(id, vm, server);
            }
        }
    }
    for (const auto &[server, domain] : m_servers) {
        m_maxGap = std::max(m_maxGap, m_now - m_lastOwned[server]);
    }
    m_inContact += hasAnyContact ? 1 : 0;
    m_steps += 1;
    m_checked += static_cast<double>(m_servers.size());
}

void MembershipSimulation::checkDispatch(const MemberId &id, Vm &vm, const BackendServerId &server)
{
    vm.workUntil[server] = m_now + m_settings.membership.maxDispatchTime;
    for (const auto &[otherId, other] : m_vms) {
        const auto work = other.workUntil.find(server);
        if (otherId == id || work == other.workUntil.end() || m_now >= work->second) {
            continue;
        }
        ++m_result.violations;
        if (m_result.firstViolation.empty()) {
            std::ostringstream text;
            text << server << ": " << id << " may dispatch while work of " << otherId
                 << " may still run there, at " << m_now / milliseconds(1) << " ms";
            m_result.firstViolation = text.str();
        }
    }
}

} // namespace pimentoward::tests
