#pragma once

#include "Pimentoward/Core/Address.h"
#include "Pimentoward/Core/Types.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pimentoward {

/// Chooses the source from which this VM follows the content of the store: the store itself, or
/// another VM that follows it. Does no input or output.
///
/// Load pattern: each call to the store is counted, and the store's call limits grow more slowly
/// than the number of VMs. In each failure domain, VMs are ranked by capacity, then by hash. The
/// first VM asks the store, and the others ask that VM. If it fails or is stale, they ask the first
/// VMs of the other failure domains, then the second VMs of all failure domains. VMs need not agree
/// on the ranking: a VM that is asked by mistake answers with the data that it has read from its
/// own source. If no VM answers for too long, a VM asks the store itself, so that one VM that is
/// overloaded by many changes does not hold up the others.
class FeedChooser
{
public:
    struct Settings
    {
        MemberId self;
        FailureDomain failureDomain;
        /// Up to this number of VMs, every VM asks the store itself.
        std::size_t maxDirectVms = 12;
        /// A source whose data is older than this is stale, and another source is tried.
        Duration maxFeedAge = std::chrono::milliseconds(2300);
        /// How long a VM that failed or was stale is not asked.
        Duration failureBackoff = std::chrono::seconds(3);
        /// How long a VM that failed or was stale is asked only after all other VMs.
        Duration failurePenaltyTime = std::chrono::seconds(15);
        /// If this VM has received no fresh data for this time, the store is asked.
        Duration staleFeedTimeout = std::chrono::milliseconds(3200);
        /// Minimum time between a call that the store did not answer and the next call to it
        /// because of stale data.
        Duration storeBackoff = std::chrono::seconds(5);
        /// If no VM has answered for this time, the store is asked.
        Duration noAnswerTimeout = std::chrono::milliseconds(2500);
        /// Number of VMs in each failure domain that other VMs ask. These VMs ask the store while
        /// no other VM is available.
        std::size_t maxSourcesPerDomain = 2;
        /// VMs to ask while no other VM is known and the store does not answer. They may no longer
        /// exist, or may still be starting.
        std::vector<Address> seeds;
        /// If no seed has answered for this time, the store is asked.
        Duration seedTimeout = std::chrono::milliseconds(1200);
        /// How long a VM whose own copy is not complete yet is not asked.
        Duration unreadyBackoff = std::chrono::milliseconds(250);
        /// The address at which other VMs reach this VM.
        Address address;
        /// Load that this VM can handle, in the unit of `Member::capacity`.
        std::uint64_t capacity = 0;
    };

    /// A VM of the tier.
    struct Member
    {
        MemberId id;
        FailureDomain failureDomain;
        Address address;
        /// Load that the VM can handle, in any unit that is the same for all VMs.
        std::uint64_t capacity = 0;
    };

    /// The source to ask: a VM, or the store itself if `vm` is empty.
    struct Choice
    {
        std::optional<Address> vm;
        /// The reason for the choice, for the log.
        const char *reason = "";
    };

    explicit FeedChooser(const Settings &settings);

    /// Reports whether the store answered this VM's last call to it. Seeds are asked only if it did
    /// not.
    void onStoreResult(bool hasAnswered, SteadyTime now);
    /// Adds a VM of the tier, or updates its record.
    void onMemberPresent(const Member &member);
    /// Removes a VM of the tier.
    void onMemberRemoved(const MemberId &member);
    /// Reports that `vm` answered with data of this age.
    void onAnswered(const Address &vm, Duration age, SteadyTime now);
    /// Reports that the call to `vm` failed.
    void onFailed(const Address &vm, SteadyTime now);
    /// Reports that the copy of `vm` is not complete yet, or is older than this VM's own.
    void onUnready(const Address &vm, SteadyTime now);

    /// Returns the source for the next call.
    Choice choose(SteadyTime now) const;
    /// True if VMs relay the content of the store to each other, instead of each asking the store.
    bool isRelaying() const { return m_members.size() > m_settings.maxDirectVms; }
    /// True if data of this age is too old.
    bool isStale(Duration age) const { return age > m_settings.maxFeedAge; }

private:
    /// Result of the last call to a VM.
    struct VmStatus
    {
        SteadyTime skippedUntil {};
        SteadyTime deprioritizedUntil {};
        /// Age of the data in the VM's last answer; nothing if it did not answer the last call.
        std::optional<Duration> age;
    };

    Choice chooseSeed(SteadyTime now) const;
    /// The VMs of a failure domain, by capacity, then by hash.
    std::vector<const Member *> rankedIn(const FailureDomain &domain) const;
    /// The VMs to ask, in order of preference.
    std::vector<const Member *> rankedSources() const;
    /// Rank of this VM in its failure domain; 0 is the first.
    std::size_t ownRank() const;
    bool isSkipped(const Address &vm, SteadyTime now) const;
    bool isDeprioritized(const Address &vm, SteadyTime now) const;
    /// True if the data is too old and the store may be asked again.
    bool isStoreFallbackDue(SteadyTime now) const;
    /// Chooses the VM whose last answer had the newest data, although it is stale; the first VM if
    /// none answered its last call.
    Choice chooseFreshest(const std::vector<const Member *> &ranked) const;

    Settings m_settings;
    std::map<MemberId, Member> m_members;
    std::map<std::string, VmStatus> m_vmStatuses;
    bool m_isStoreUnresponsive = false;
    std::optional<SteadyTime> m_storeFailedAt;
    /// When this VM last received fresh data.
    std::optional<SteadyTime> m_lastFreshAt;
    /// When a call to a VM first failed since a call was last answered; nothing if none has failed
    /// since then.
    std::optional<SteadyTime> m_noAnswerSince;
};

} // namespace pimentoward
