#include "Pimentoward/Discovery/LimitSharingMembers.h"

#include <algorithm>

namespace pimentoward {

LimitSharingMembers::LimitSharingMembers(MemberId self, const Settings &settings)
    : m_self(std::move(self))
    , m_settings(settings)
{
    m_members[m_self] = std::nullopt;
}

void LimitSharingMembers::onMemberPresent(const MemberId &member)
{
    m_members[member] = std::nullopt;
}

void LimitSharingMembers::onMemberRemoved(const MemberId &member, SteadyTime now)
{
    const auto found = m_members.find(member);
    if (member == m_self || found == m_members.end() || found->second) {
        return;
    }
    found->second = now;
}

std::vector<MemberId> LimitSharingMembers::countedMembers(SteadyTime now)
{
    std::vector<MemberId> members;
    for (auto it = m_members.begin(); it != m_members.end();) {
        const bool hasExpired = it->second && *it->second + m_settings.removalGracePeriod <= now;
        if (hasExpired) {
            it = m_members.erase(it);
            continue;
        }
        members.push_back(it->first);
        ++it;
    }
    return members;
}

std::optional<SteadyTime> LimitSharingMembers::nextChange() const
{
    std::optional<SteadyTime> next;
    for (const auto &[member, removedAt] : m_members) {
        if (removedAt) {
            const SteadyTime end = *removedAt + m_settings.removalGracePeriod;
            next = std::min(next.value_or(end), end);
        }
    }
    return next;
}

} // namespace pimentoward
