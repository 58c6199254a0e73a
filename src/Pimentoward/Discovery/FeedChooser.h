#pragma once

#include "Pimentoward/Core/Address.h"
#include "Pimentoward/Core/Types.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pimentoward {

/// Decides from whom a VM learns what the store holds: from the store itself, or from another VM
/// that does. Does no input or output.
///
/// Load pattern: each call to the store is counted, and its rates grow more slowly than the fleet.
/// In each failure domain the first VM by capacity, then by hash, asks the store; the others ask
/// that one, when it falls silent or behind the first ones of other failure domains, then the
/// second ones. No two VMs need to agree: a VM that is asked by mistake only hands on what it has
/// learned elsewhere. Where nobody answers for too long, a VM asks the store itself, so that one VM
/// that chokes on many changes never holds up the rest.
class FeedChooser
{
public:
    struct Settings
    {
        MemberId self;
        FailureDomain failureDomain;
        /// VMs up to which each asks the store itself.
        std::size_t maxDirectVms = 12;
        /// Knowledge that is older than this is worth looking for elsewhere.
        Duration maxFeedAge = std::chrono::milliseconds(2300);
        /// How long a VM that failed or was behind is passed over.
        Duration failureBackoff = std::chrono::seconds(3);
        /// How long it is asked only after all that did not.
        Duration failurePenaltyTime = std::chrono::seconds(15);
        /// After this time without fresh knowledge the store is asked.
        Duration staleFeedTimeout = std::chrono::milliseconds(3200);
        /// Not again so soon after the store did not answer.
        Duration storeBackoff = std::chrono::seconds(5);
        /// After this time without any VM's answer the store is asked.
        Duration noAnswerTimeout = std::chrono::milliseconds(2500);
        /// VMs of a failure domain that ask the store where no other VM knows better.
        std::size_t maxSourcesPerDomain = 2;
        /// VMs to ask before any member is known; they may be long gone, or start just now too.
        std::vector<Address> seeds;
        /// After this time without a seed's answer the store is asked.
        Duration seedTimeout = std::chrono::milliseconds(1200);
        /// How long a VM is passed over that knows nothing itself yet.
        Duration unreadyBackoff = std::chrono::milliseconds(250);
        /// This VM's own address for others, and what it can carry beside others.
        Address address;
        std::uint64_t capacity = 0;
    };

    /// Another VM of the tier.
    struct Member
    {
        MemberId id;
        FailureDomain failureDomain;
        Address address;
        /// What it can carry, in any unit that is the same for all VMs.
        std::uint64_t capacity = 0;
    };

    /// Whom to ask; the store itself where `vm` is empty.
    struct Choice
    {
        std::optional<Address> vm;
        /// Why, for logs.
        const char *reason = "";
    };

    explicit FeedChooser(const Settings &settings);

    /// Whether the store answered this VM at last; where it did not, seeds are asked.
    void onStoreResult(bool hasAnswered, SteadyTime now);
    void onMemberPresent(const Member &member);
    void onMemberRemoved(const MemberId &member);
    /// The VM answered with knowledge of this age.
    void onAnswered(const Address &vm, Duration age, SteadyTime now);
    void onFailed(const Address &vm, SteadyTime now);
    /// The VM knows nothing itself yet.
    void onUnready(const Address &vm, SteadyTime now);

    Choice choose(SteadyTime now) const;
    /// True where VMs hand on what they know, in place of each asking the store.
    bool isRelaying() const { return m_members.size() > m_settings.maxDirectVms; }
    bool isStale(Duration age) const { return age > m_settings.maxFeedAge; }

private:
    /// What a VM showed when it was asked last.
    struct VmStatus
    {
        SteadyTime skippedUntil {};
        SteadyTime deprioritizedUntil {};
        /// Set where it answered, though with old knowledge.
        std::optional<Duration> age;
    };

    Choice chooseSeed(SteadyTime now) const;
    std::vector<const Member *> rankedIn(const FailureDomain &domain) const;
    std::vector<const Member *> rankedSources() const;
    std::size_t ownRank() const;
    bool isSkipped(const Address &vm, SteadyTime now) const;
    bool isDeprioritized(const Address &vm, SteadyTime now) const;
    bool isStoreFallbackDue(SteadyTime now) const;
    Choice chooseFreshest(const std::vector<const Member *> &ranked) const;

    Settings m_settings;
    std::map<MemberId, Member> m_members;
    std::map<std::string, VmStatus> m_vmStatuses;
    bool m_isStoreUnresponsive = false;
    std::optional<SteadyTime> m_storeFailedAt;
    /// When this VM's knowledge was fresh at last.
    std::optional<SteadyTime> m_lastFreshAt;
    /// Since when no VM that was asked has answered.
    std::optional<SteadyTime> m_noAnswerSince;
};

} // namespace pimentoward
