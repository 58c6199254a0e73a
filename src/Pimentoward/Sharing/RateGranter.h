#pragma once

#include "Pimentoward/Sharing/RateParts.h"
#include "Pimentoward/Sharing/TokenBucket.h"

#include <map>
#include <string>
#include <vector>

namespace pimentoward {

/// What a VM that wants tokens asks the granter of a part.
struct RateQuestion
{
    std::string key;
    std::size_t wanted = 0;
    /// Requests that the VM has refused without asking since its last question.
    std::size_t refused = 0;
};

/// What the granter of a part answers to a VM that wants tokens.
struct RateAnswer
{
    /// False if the VM does not grant this part, or not yet.
    bool isGranting = false;
    /// True if the part grants only some of its limit; see RateGranter.
    bool isReduced = false;
    std::size_t granted = 0;
    /// Time until the part has a token again; zero if it has some.
    Duration nextToken {};
    /// When the first request that got no token may be sent again.
    Duration retryAfter {};
};

/// Grants the tokens of the parts whose granter is this VM. Does no input or output.
///
/// Load pattern: VMs are killed, frozen, cut off, and start again with empty memory, so two VMs may
/// believe that they grant the same part. A VM grants all of a part only while its list of VMs was
/// confirmed by the store within `maxViewAge`. While the store is away for longer, it goes on with
/// `staleShare` of the part, up to `maxStaleAge`. A new granter begins without tokens, since it
/// does not know what was granted; it grants the rest of the part after `takeoverTime`, and all of
/// it after `fullTime`. These are longer than twice the ages before: a VM that granted all has
/// reduced itself by the first and has stopped by the second, even if the lists changed back and
/// forth in between. So the sum never exceeds the part. A reserve is granted without these waits,
/// since it is so small that two VMs can grant it at a time.
class RateGranter
{
public:
    struct Settings
    {
        MemberId self;
        Duration maxViewAge = std::chrono::seconds(4);
        Duration takeoverTime = std::chrono::seconds(9);
        Duration maxStaleAge = std::chrono::seconds(40);
        Duration fullTime = std::chrono::seconds(81);
        double staleShare = 0.2;
        /// Limit of the time after which a refused request may be sent again.
        Duration maxRetryAfter = std::chrono::seconds(10);
    };

    explicit RateGranter(const Settings &settings)
        : m_settings(settings)
    { }

    /// Applies parts that have changed. Returns the keys of the parts that this VM has begun or
    /// stopped to grant.
    std::vector<std::string> update(const RateParts &parts, SteadyTime now);
    /// Reports that the list of VMs was the store's at `at`. Must run after update() with that
    /// list.
    void onViewConfirmed(SteadyTime at, SteadyTime now);
    /// Answers a VM that wants tokens of a part.
    RateAnswer onAsked(const RateQuestion &question, SteadyTime now);
    /// Number of parts that this VM grants, or will grant after the takeover.
    std::size_t roles() const { return m_roles.size(); }
    bool hasRole(const std::string &key) const { return m_roles.count(key) > 0; }

private:
    struct Role
    {
        RateLimit limit;
        double wholeRate;
        bool isReserve;
        TokenBucket bucket;
        SteadyTime startsAt;
        /// From this time on, all of the part is granted.
        SteadyTime fullAt;
        /// Fraction of the part that is granted before.
        double earlyFraction;
        /// Fraction of `limit` that the bucket has.
        double fraction;
        /// Up to this time, the tokens of the whole limit are promised to requests that were
        /// refused.
        SteadyTime promisedUntil;
    };

    Role newRole(const RateParts::Part &part, SteadyTime now) const;
    /// Lets a role wait again before it grants.
    void restart(Role &role, SteadyTime now) const;
    /// True if the role granted all of its part when the list of VMs was last confirmed.
    bool wasFull(const Role &role) const;
    /// Fraction of the part that may be granted now.
    double fraction(const Role &role, SteadyTime now) const;

    Settings m_settings;
    SteadyTime m_confirmedAt {};
    std::map<std::string, Role> m_roles;
};

} // namespace pimentoward
