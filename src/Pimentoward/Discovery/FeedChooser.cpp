#include "Pimentoward/Discovery/FeedChooser.h"

#include "Pimentoward/Process/RendezvousHash.h"

#include <algorithm>
#include <set>

namespace pimentoward {

FeedChooser::FeedChooser(const Settings &settings)
    : m_settings(settings)
{
    onMemberPresent({settings.self, settings.failureDomain, settings.address, settings.capacity});
}

void FeedChooser::onMemberPresent(const Member &member)
{
    m_members[member.id] = member;
}

void FeedChooser::onMemberRemoved(const MemberId &member)
{
    if (member != m_settings.self) {
        m_members.erase(member);
    }
}

void FeedChooser::onAnswered(const Address &vm, Duration age, SteadyTime now)
{
    m_noAnswerSince.reset();
    VmStatus &status = m_vmStatuses[vm.toString()];
    status.age = age;
    if (!isStale(age)) {
        m_lastFreshAt = now;
        status.deprioritizedUntil = now;
        return;
    }
    status.skippedUntil = now + m_settings.failureBackoff;
    status.deprioritizedUntil = now + m_settings.failurePenaltyTime;
}

void FeedChooser::onFailed(const Address &vm, SteadyTime now)
{
    m_noAnswerSince = m_noAnswerSince.value_or(now);
    m_vmStatuses[vm.toString()]
        = {now + m_settings.failureBackoff, now + m_settings.failurePenaltyTime, std::nullopt};
}

void FeedChooser::onStoreResult(bool hasAnswered, SteadyTime now)
{
    m_isStoreUnresponsive = !hasAnswered;
    if (hasAnswered) {
        m_lastFreshAt = now;
        m_noAnswerSince.reset();
    } else {
        m_storeFailedAt = now;
    }
}

void FeedChooser::onUnready(const Address &vm, SteadyTime now)
{
    m_noAnswerSince = m_noAnswerSince.value_or(now);
    m_vmStatuses[vm.toString()] = {now + m_settings.unreadyBackoff, now, std::nullopt};
}

bool FeedChooser::isDeprioritized(const Address &vm, SteadyTime now) const
{
    const auto found = m_vmStatuses.find(vm.toString());
    return found != m_vmStatuses.end() && now < found->second.deprioritizedUntil;
}

bool FeedChooser::isStoreFallbackDue(SteadyTime now) const
{
    const bool isFeedTooOld = m_lastFreshAt && now - *m_lastFreshAt > m_settings.staleFeedTimeout;
    const bool mayAskStore = !m_storeFailedAt || now - *m_storeFailedAt >= m_settings.storeBackoff;
    return isFeedTooOld && mayAskStore;
}

bool FeedChooser::isSkipped(const Address &vm, SteadyTime now) const
{
    const auto found = m_vmStatuses.find(vm.toString());
    return found != m_vmStatuses.end() && now < found->second.skippedUntil;
}

std::vector<const FeedChooser::Member *> FeedChooser::rankedIn(const FailureDomain &domain) const
{
    std::vector<RendezvousHash::Candidate> candidates;
    for (const auto &[id, member] : m_members) {
        if (member.failureDomain == domain) {
            candidates.push_back({id, domain});
        }
    }
    std::vector<const Member *> ranked;
    for (const MemberId &id : RendezvousHash::ranking(candidates, "store/" + domain, domain)) {
        ranked.push_back(&m_members.at(id));
    }
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const Member *a, const Member *b) { return a->capacity > b->capacity; });
    return ranked;
}

std::vector<const FeedChooser::Member *> FeedChooser::rankedSources() const
{
    std::set<FailureDomain> others;
    for (const auto &[id, member] : m_members) {
        others.insert(member.failureDomain);
    }
    others.erase(m_settings.failureDomain);
    std::vector<std::vector<const Member *>> byDomain {rankedIn(m_settings.failureDomain)};
    for (const FailureDomain &domain : others) {
        byDomain.push_back(rankedIn(domain));
    }
    std::vector<const Member *> ranked;
    for (std::size_t rank = 0; rank < m_settings.maxSourcesPerDomain; ++rank) {
        for (const std::vector<const Member *> &domain : byDomain) {
            if (rank < domain.size()) {
                ranked.push_back(domain[rank]);
            }
        }
    }
    return ranked;
}

std::size_t FeedChooser::ownRank() const
{
    const auto ranked = rankedIn(m_settings.failureDomain);
    const auto own = std::find_if(ranked.begin(), ranked.end(), [this](const Member *member) {
        return member->id == m_settings.self;
    });
    return static_cast<std::size_t>(own - ranked.begin());
}

FeedChooser::Choice FeedChooser::choose(SteadyTime now) const
{
    if (m_members.size() == 1 && m_isStoreUnresponsive) {
        return chooseSeed(now);
    }
    if (!isRelaying()) {
        return {std::nullopt, "few VMs, so each asks the store"};
    }
    const std::size_t rank = ownRank();
    if (rank == 0) {
        return {std::nullopt, "first VM of its failure domain"};
    }
    if (m_noAnswerSince && now - *m_noAnswerSince >= m_settings.noAnswerTimeout) {
        return {std::nullopt, "no VM answered in time"};
    }
    if (isStoreFallbackDue(now)) {
        return {std::nullopt, "no VM had fresh data in time"};
    }
    const std::vector<const Member *> ranked = rankedSources();
    for (const bool allowsDeprioritized : {false, true}) {
        for (const Member *member : ranked) {
            const bool isOther = member->id != m_settings.self;
            const bool isAllowed = allowsDeprioritized || !isDeprioritized(member->address, now);
            if (isOther && isAllowed && !isSkipped(member->address, now)) {
                return {member->address, "first available VM"};
            }
        }
    }
    if (rank < m_settings.maxSourcesPerDomain) {
        return {std::nullopt, "no VM is available"};
    }
    return chooseFreshest(ranked);
}

FeedChooser::Choice FeedChooser::chooseFreshest(const std::vector<const Member *> &ranked) const
{
    Choice choice {std::nullopt, "no other VM"};
    std::optional<Duration> minAge;
    for (const Member *member : ranked) {
        if (!choice.vm && member->id != m_settings.self) {
            choice = {member->address, "retry, since no VM answered"};
        }
        const auto found = m_vmStatuses.find(member->address.toString());
        const bool isAgeKnown = found != m_vmStatuses.end() && found->second.age;
        if (isAgeKnown && (!minAge || *found->second.age < *minAge)) {
            minAge = found->second.age;
            choice = {member->address, "freshest of the stale VMs"};
        }
    }
    return choice;
}

FeedChooser::Choice FeedChooser::chooseSeed(SteadyTime now) const
{
    const auto &seeds = m_settings.seeds;
    const bool isSeed = std::find(seeds.begin(), seeds.end(), m_settings.address) != seeds.end();
    const bool hasTimedOut = m_noAnswerSince && now - *m_noAnswerSince >= m_settings.seedTimeout;
    if (isSeed || seeds.empty() || hasTimedOut) {
        return {std::nullopt,
                isSeed ? "this VM is a seed" : "no seed answered in time or none is configured"};
    }
    // The hash of the VM's name selects the seed that is asked first. This spreads the load over
    // the seeds when many VMs start at the same time.
    const std::size_t first = std::hash<std::string>()(m_settings.self) % seeds.size();
    for (std::size_t offset = 0; offset < seeds.size(); ++offset) {
        const Address &seed = seeds[(first + offset) % seeds.size()];
        if (!isSkipped(seed, now)) {
            return {seed, "seed"};
        }
    }
    return {seeds[first], "retry, since no seed answered"};
}

} // namespace pimentoward
