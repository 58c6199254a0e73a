#include "Pimentoward/Process/ClaimBucket.h"

#include <algorithm>
#include <cassert>

namespace pimentoward {

namespace {

ClaimSettlement releaseOf(const ClaimRequest &request)
{
    ClaimSettlement release;
    release.token = request.token;
    release.coordinator = request.coordinator;
    release.service = request.service;
    release.key = request.key;
    release.ran = false;
    return release;
}

ClaimReply replyWith(const ClaimRequest &request, ClaimVerdict verdict)
{
    ClaimReply reply;
    reply.token = request.token;
    reply.verdict = verdict;
    return reply;
}

/// Returns the entry that a settlement refers to, or nullptr if it was removed or belongs to
/// another token.
ClaimEntry *findEntryOf(ClaimRecord &record, const ClaimSettlement &settlement)
{
    const auto found
        = record.entries.find(ClaimRecord::claimName(settlement.service, settlement.key));
    const bool isSameToken
        = found != record.entries.end() && found->second.token == settlement.token;
    return isSameToken ? &found->second : nullptr;
}

} // namespace

ClaimBucket::ClaimBucket(const Settings &settings)
    : m_settings(settings)
{ }

void ClaimBucket::claim(const ClaimRequest &request, SteadyTime now)
{
    const auto [entry, inserted]
        = m_claims.emplace(request.token, PendingClaim {request, now + request.timeLeft});
    if (inserted) {
        m_order.push_back(request.token);
    }
}

void ClaimBucket::settle(const ClaimSettlement &settlement)
{
    m_settlements[settlement.token] = settlement;
}

ClaimBucket::Actions ClaimBucket::onRead(const std::optional<StoredValue> &value, SteadyTime now,
                                         WallTime wallNow)
{
    assert(m_phase == Phase::Reading);
    m_phase = Phase::Idle;
    Reason reason;
    auto record = value ? ClaimRecord::decode(value->value, reason) : std::nullopt;
    Actions actions;
    if (!record) {
        retryLater(now);
        refuseOverdue(now, actions);
        return actions;
    }
    m_known = std::move(*record);
    m_revision = value->revision;
    // If the store's answer to an earlier write was lost, the tokens in the record show whether the
    // write took effect.
    reportCommitted(actions);
    for (Action &action : step(now, wallNow)) {
        actions.push_back(std::move(action));
    }
    return actions;
}

ClaimBucket::Actions ClaimBucket::onWrite(const WriteOutcome &outcome, SteadyTime now,
                                          WallTime wallNow)
{
    assert(m_phase == Phase::Writing);
    m_phase = Phase::Idle;
    Actions actions;
    const bool isUnsure = outcome.status == WriteStatus::Unsure;
    if (outcome.status == WriteStatus::Committed || (isUnsure && !m_settings.readBackUnsure)) {
        m_known = std::move(m_written);
        m_revision = outcome.revision;
        reportCommitted(actions);
    } else {
        // The stored value must be read before the next decision. A write that is still in flight
        // expects the same revision as the next one, so the store commits only one of the two.
        m_known.reset();
        if (outcome.status != WriteStatus::Conflict) {
            retryLater(now);
        }
    }
    for (Action &action : step(now, wallNow)) {
        actions.push_back(std::move(action));
    }
    return actions;
}

ClaimBucket::Actions ClaimBucket::step(SteadyTime now, WallTime wallNow)
{
    Actions actions;
    refuseOverdue(now, actions);
    if (m_phase != Phase::Idle || now < m_retryAt || (waiting() == 0 && m_abandoned.empty())) {
        return actions;
    }
    if (!m_known) {
        m_phase = Phase::Reading;
        actions.push_back(Read {});
        return actions;
    }
    ClaimRecord record = *m_known;
    record.dropExpired(wallNow - m_settings.clockTolerance);
    if (applyWaiting(record, wallNow, actions)) {
        m_phase = Phase::Writing;
        m_written = std::move(record);
        actions.push_back(Write {m_revision, m_written.encode()});
        if (!m_settings.waitForCommit) {
            const auto committed = m_known;
            m_known = m_written;
            reportCommitted(actions);
            m_known = committed;
        }
    } else {
        // Settlements of entries that no longer exist need no write.
        reportCommitted(actions);
    }
    return actions;
}

std::optional<SteadyTime> ClaimBucket::nextTimer() const
{
    if (waiting() == 0 && m_abandoned.empty()) {
        return std::nullopt;
    }
    SteadyTime due = m_phase == Phase::Idle ? m_retryAt : SteadyTime::max();
    for (const auto &[token, claim] : m_claims) {
        due = std::min(due, claim.deadline);
    }
    return due;
}

void ClaimBucket::refuseOverdue(SteadyTime now, Actions &actions)
{
    for (auto claim = m_claims.begin(); claim != m_claims.end();) {
        if (now < claim->second.deadline) {
            ++claim;
            continue;
        }
        const ClaimRequest &request = claim->second.request;
        actions.push_back(
            Reply {request.coordinator, replyWith(request, ClaimVerdict::StoreUnavailable)});
        // The coordinator does not dispatch a refused claim, so a claim that a write already
        // contains can be released.
        if (claim->second.isStaged) {
            m_abandoned[request.token] = releaseOf(request);
        }
        claim = m_claims.erase(claim);
    }
}

void ClaimBucket::reportCommitted(Actions &actions)
{
    for (auto claim = m_claims.begin(); claim != m_claims.end();) {
        const ClaimRequest &request = claim->second.request;
        const auto entry
            = m_known->entries.find(ClaimRecord::claimName(request.service, request.key));
        if (entry == m_known->entries.end() || entry->second.token != request.token) {
            ++claim;
            continue;
        }
        actions.push_back(Reply {request.coordinator, replyWith(request, ClaimVerdict::Granted)});
        claim = m_claims.erase(claim);
    }
    for (auto item = m_settlements.begin(); item != m_settlements.end();) {
        const ClaimEntry *entry = findEntryOf(*m_known, item->second);
        // If the entry is settled, released or expired, there is nothing left to write.
        if (entry != nullptr && !(item->second.ran && entry->isSettled)) {
            ++item;
            continue;
        }
        actions.push_back(Settled {item->second.coordinator, item->first});
        item = m_settlements.erase(item);
    }
    for (auto item = m_abandoned.begin(); item != m_abandoned.end();) {
        const bool isGone = findEntryOf(*m_known, item->second) == nullptr;
        item = isGone && m_phase == Phase::Idle ? m_abandoned.erase(item) : std::next(item);
    }
}

bool ClaimBucket::applyWaiting(ClaimRecord &record, WallTime wallNow, Actions &actions)
{
    bool changed = applySettlements(record);
    std::deque<ClaimToken> remaining;
    for (const ClaimToken &token : m_order) {
        const auto pendingClaim = m_claims.find(token);
        if (pendingClaim == m_claims.end()) {
            continue;
        }
        const ClaimRequest &request = pendingClaim->second.request;
        if (const auto reply = replyFor(request, record, wallNow)) {
            actions.push_back(Reply {request.coordinator, *reply});
            m_claims.erase(pendingClaim);
            continue;
        }
        remaining.push_back(token);
        if (changed && !m_settings.groupCommit) {
            continue;
        }
        ClaimEntry entry;
        entry.token = token;
        entry.contentHash = request.contentHash;
        entry.expiry = request.expiry;
        record.entries[ClaimRecord::claimName(request.service, request.key)] = std::move(entry);
        pendingClaim->second.isStaged = true;
        changed = true;
    }
    m_order = std::move(remaining);
    return changed;
}

bool ClaimBucket::applySettlements(ClaimRecord &record) const
{
    bool changed = false;
    const auto apply = [&](const ClaimSettlement &settlement) {
        ClaimEntry *entry = findEntryOf(record, settlement);
        if (entry == nullptr || entry->isSettled || (changed && !m_settings.groupCommit)) {
            return;
        }
        changed = true;
        if (!settlement.ran) {
            record.entries.erase(ClaimRecord::claimName(settlement.service, settlement.key));
            return;
        }
        entry->isSettled = true;
        entry->code = settlement.code;
        if (settlement.body.size() <= m_settings.maxOutcomeSize) {
            entry->body = settlement.body;
        }
    };
    for (const auto &[token, settlement] : m_settlements) {
        apply(settlement);
    }
    for (const auto &[token, release] : m_abandoned) {
        apply(release);
    }
    return changed;
}

std::optional<ClaimReply> ClaimBucket::replyFor(const ClaimRequest &request,
                                                const ClaimRecord &record, WallTime wallNow) const
{
    if (request.expiry <= wallNow) {
        return replyWith(request, ClaimVerdict::KeyExpired);
    }
    const auto entry = record.entries.find(ClaimRecord::claimName(request.service, request.key));
    if (entry != record.entries.end()) {
        return replyFromEntry(request, entry->second);
    }
    if (!hasCapacityFor(record, request)) {
        return replyWith(request, ClaimVerdict::Full);
    }
    return std::nullopt;
}

ClaimReply ClaimBucket::replyFromEntry(const ClaimRequest &request, const ClaimEntry &entry)
{
    if (entry.contentHash != request.contentHash) {
        return replyWith(request, ClaimVerdict::KeyConflict);
    }
    if (!entry.isSettled) {
        return replyWith(request, ClaimVerdict::MayHaveRun);
    }
    ClaimReply reply = replyWith(request, ClaimVerdict::Recorded);
    reply.code = entry.code;
    reply.body = entry.body;
    return reply;
}

bool ClaimBucket::hasCapacityFor(const ClaimRecord &record, const ClaimRequest &request) const
{
    // Space is reserved for the outcome as well, so that a granted claim can always be settled.
    constexpr std::size_t entryOverhead = 256; // bytes
    const std::size_t needed = request.key.size() + request.service.size() + request.token.size()
        + m_settings.maxOutcomeSize + entryOverhead;
    std::size_t reserved = 0;
    for (const auto &[name, entry] : record.entries) {
        reserved += entry.isSettled ? 0 : m_settings.maxOutcomeSize;
    }
    return record.sizeBound() + reserved + needed <= m_settings.maxValueSize;
}

void ClaimBucket::retryLater(SteadyTime now)
{
    m_retryAt = now + m_settings.retryDelay;
}

} // namespace pimentoward
