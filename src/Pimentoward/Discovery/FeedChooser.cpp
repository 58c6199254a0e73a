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

void FeedChooser::onVanished(const MemberId &member)
{
    if (member != m_settings.self) {
        m_members.erase(member);
    }
}

void FeedChooser::onAnswered(const Address &vm, Duration age, SteadyTime now)
{
    m_silentSince.reset();
    Standing &standing = m_standings[vm.toString()];
    standing.age = age;
    if (!isStale(age)) {
        m_freshAt = now;
        standing.lastChoiceUntil = now;
        return;
    }
    standing.passedOverUntil = now + m_settings.failureBackoff;
    standing.lastChoiceUntil = now + m_settings.failureMemory;
}

void FeedChooser::onFailed(const Address &vm, SteadyTime now)
{
    m_silentSince = m_silentSince.value_or(now);
    m_standings[vm.toString()]
        = {now + m_settings.failureBackoff, now + m_settings.failureMemory, std::nullopt};
}

void FeedChooser::onStore(bool hasAnswered, SteadyTime now)
{
    m_isStoreSilent = !hasAnswered;
    if (hasAnswered) {
        m_freshAt = now;
        m_silentSince.reset();
    } else {
        m_storeFailedAt = now;
    }
}

void FeedChooser::onUnready(const Address &vm, SteadyTime now)
{
    m_silentSince = m_silentSince.value_or(now);
    m_standings[vm.toString()] = {now + m_settings.unreadyPause, now, std::nullopt};
}

bool FeedChooser::isLastChoice(const Address &vm, SteadyTime now) const
{
    const auto found = m_standings.find(vm.toString());
    return found != m_standings.end() && now < found->second.lastChoiceUntil;
}

bool FeedChooser::isTooOld(SteadyTime now) const
{
    const bool isOld = m_freshAt && now - *m_freshAt > m_settings.staleLimit;
    const bool mayAsk = !m_storeFailedAt || now - *m_storeFailedAt >= m_settings.storePause;
    return isOld && mayAsk;
}

bool FeedChooser::isPassedOver(const Address &vm, SteadyTime now) const
{
    const auto found = m_standings.find(vm.toString());
    return found != m_standings.end() && now < found->second.passedOverUntil;
}

std::vector<const FeedChooser::Member *> FeedChooser::rankingIn(const FailureDomain &domain) const
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

std::vector<const FeedChooser::Member *> FeedChooser::ranking() const
{
    std::set<FailureDomain> others;
    for (const auto &[id, member] : m_members) {
        others.insert(member.failureDomain);
    }
    others.erase(m_settings.failureDomain);
    std::vector<std::vector<const Member *>> byDomain {rankingIn(m_settings.failureDomain)};
    for (const FailureDomain &domain : others) {
        byDomain.push_back(rankingIn(domain));
    }
    std::vector<const Member *> ranked;
    for (std::size_t rank = 0; rank < m_settings.substitutes; ++rank) {
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
    const auto ranked = rankingIn(m_settings.failureDomain);
    const auto own = std::find_if(ranked.begin(), ranked.end(), [this](const Member *member) {
        return member->id == m_settings.self;
    });
    return static_cast<std::size_t>(own - ranked.begin());
}

FeedChooser::Choice FeedChooser::choose(SteadyTime now) const
{
    if (m_members.size() == 1 && m_isStoreSilent) {
        return chooseSeed(now);
    }
    if (!isRelaying()) {
        return {std::nullopt, "few VMs"};
    }
    const std::size_t rank = ownRank();
    if (rank == 0) {
        return {std::nullopt, "first of its failure domain"};
    }
    if (m_silentSince && now - *m_silentSince >= m_settings.silenceLimit) {
        return {std::nullopt, "no VM answers"};
    }
    if (isTooOld(now)) {
        return {std::nullopt, "no VM knows the present"};
    }
    const std::vector<const Member *> ranked = ranking();
    for (const bool allowsLastChoice : {false, true}) {
        for (const Member *member : ranked) {
            const bool isOther = member->id != m_settings.self;
            const bool isAllowed = allowsLastChoice || !isLastChoice(member->address, now);
            if (isOther && isAllowed && !isPassedOver(member->address, now)) {
                return {member->address, "first that answers"};
            }
        }
    }
    if (rank < m_settings.substitutes) {
        return {std::nullopt, "no VM knows better"};
    }
    return leastBehind(ranked);
}

FeedChooser::Choice FeedChooser::leastBehind(const std::vector<const Member *> &ranked) const
{
    Choice choice {std::nullopt, "no other VM"};
    std::optional<Duration> least;
    for (const Member *member : ranked) {
        if (!choice.vm && member->id != m_settings.self) {
            choice = {member->address, "asked again"};
        }
        const auto found = m_standings.find(member->address.toString());
        const bool hasAnswered = found != m_standings.end() && found->second.age;
        if (hasAnswered && (!least || *found->second.age < *least)) {
            least = found->second.age;
            choice = {member->address, "least behind"};
        }
    }
    return choice;
}

FeedChooser::Choice FeedChooser::chooseSeed(SteadyTime now) const
{
    const auto &seeds = m_settings.seeds;
    const bool isSeed = std::find(seeds.begin(), seeds.end(), m_settings.address) != seeds.end();
    const bool isTooLong = m_silentSince && now - *m_silentSince >= m_settings.seedPatience;
    if (isSeed || seeds.empty() || isTooLong) {
        return {std::nullopt, isSeed ? "seed itself" : "no seed answers"};
    }
    // VMs begin with different seeds, since all of them may start at once.
    const std::size_t first = std::hash<std::string>()(m_settings.self) % seeds.size();
    for (std::size_t offset = 0; offset < seeds.size(); ++offset) {
        const Address &seed = seeds[(first + offset) % seeds.size()];
        if (!isPassedOver(seed, now)) {
            return {seed, "seed"};
        }
    }
    return {seeds[first], "seed asked again"};
}

} // namespace pimentoward
