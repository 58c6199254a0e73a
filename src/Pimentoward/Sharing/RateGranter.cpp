#include "Pimentoward/Sharing/RateGranter.h"

#include <algorithm>
#include <set>

namespace pimentoward {

namespace {

RateLimit scaledLimit(const RateLimit &limit, double fraction)
{
    return {limit.requestsPerSecond * fraction, limit.burst * fraction};
}

} // namespace

RateGranter::Role RateGranter::newRole(const RateParts::Part &part, SteadyTime now) const
{
    Role role {
        part.limit, part.wholeRate, part.isReserve, TokenBucket(part.limit, now), now, now, 1, 1,
        now};
    if (!part.isReserve) {
        restart(role, now);
    }
    return role;
}

void RateGranter::restart(Role &role, SteadyTime now) const
{
    role.startsAt = now + m_settings.takeoverTime;
    role.fullAt = now + m_settings.fullTime;
    role.earlyFraction = 1 - m_settings.staleShare;
    role.fraction = role.earlyFraction;
    role.bucket = TokenBucket(scaledLimit(role.limit, role.fraction), role.startsAt);
    role.promisedUntil = role.startsAt;
}

bool RateGranter::wasFull(const Role &role) const
{
    return role.fullAt <= m_confirmedAt + m_settings.maxViewAge;
}

double RateGranter::fraction(const Role &role, SteadyTime now) const
{
    const Duration age = now - m_confirmedAt;
    if (now < role.startsAt) {
        return 0;
    }
    if (role.isReserve) {
        return age <= m_settings.maxStaleAge ? 1 : 0;
    }
    if (age <= m_settings.maxViewAge) {
        return now < role.fullAt ? role.earlyFraction : 1;
    }
    return age <= m_settings.maxStaleAge && wasFull(role) ? m_settings.staleShare : 0;
}

std::vector<std::string> RateGranter::update(const RateParts &parts, SteadyTime now)
{
    std::vector<std::string> changed;
    std::set<std::string> held;
    for (const auto &[name, list] : parts.byWorkspace()) {
        for (const RateParts::Part &part : list) {
            if (part.granter != m_settings.self) {
                continue;
            }
            held.insert(part.key);
            const auto [role, isNew] = m_roles.try_emplace(part.key, newRole(part, now));
            if (isNew) {
                changed.push_back(part.key);
            } else {
                Role &known = role->second;
                known.limit = part.limit;
                known.wholeRate = part.wholeRate;
                known.bucket.changeLimit(scaledLimit(known.limit, known.fraction), now);
            }
        }
    }
    for (auto role = m_roles.begin(); role != m_roles.end();) {
        if (held.count(role->first) > 0) {
            ++role;
            continue;
        }
        changed.push_back(role->first);
        role = m_roles.erase(role);
    }
    return changed;
}

void RateGranter::onViewConfirmed(SteadyTime at, SteadyTime now)
{
    const Duration age = now - m_confirmedAt;
    if (age > m_settings.maxViewAge) {
        // Another VM may have granted in between and not know yet that it is no longer the granter.
        // It had no more than what this VM left.
        for (auto &[key, role] : m_roles) {
            if (role.isReserve) {
                continue;
            }
            if (age <= m_settings.maxStaleAge && wasFull(role)) {
                role.fullAt = now + m_settings.takeoverTime;
                role.earlyFraction = m_settings.staleShare;
            } else {
                restart(role, now);
            }
        }
    }
    m_confirmedAt = std::max(m_confirmedAt, at);
}

RateAnswer RateGranter::onAsked(const RateQuestion &question, SteadyTime now)
{
    const auto found = m_roles.find(question.key);
    if (found == m_roles.end()) {
        return {};
    }
    Role &role = found->second;
    const double allowed = fraction(role, now);
    if (allowed == 0) {
        return {};
    }
    if (allowed != role.fraction) {
        role.fraction = allowed;
        // A bucket that nobody asked has filled since it may.
        role.bucket.changeLimit(scaledLimit(role.limit, allowed), allowed < 1 ? now : role.fullAt);
    }
    RateAnswer answer;
    answer.isGranting = true;
    answer.isReduced = allowed < 1;
    answer.granted = role.bucket.take(question.wanted, now);
    answer.nextToken = std::min(role.bucket.timeToToken(now), m_settings.maxRetryAfter);
    // A refused request is refused by all parts, so each counts it for the whole limit.
    const Duration step
        = scaled(std::chrono::seconds(1), 1 / (role.wholeRate * promisedRatio * allowed));
    const SteadyTime latest = now + m_settings.maxRetryAfter;
    const SteadyTime base = std::max(role.promisedUntil, now + answer.nextToken);
    const SteadyTime first
        = std::min(base + scaled(step, static_cast<double>(question.refused)), latest);
    const auto refused = static_cast<double>(question.wanted - answer.granted);
    answer.retryAfter = first - now;
    if (question.refused > 0 || refused > 0) {
        role.promisedUntil = std::min(first + scaled(step, refused), latest);
    }
    return answer;
}

} // namespace pimentoward
