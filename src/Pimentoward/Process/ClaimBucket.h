#pragma once

#include "Pimentoward/Process/ClaimRecord.h"
#include "Pimentoward/Process/Store.h"

#include <deque>
#include <map>
#include <variant>
#include <vector>

namespace pimentoward {

/// Decides for the owner of one claim bucket which claims are granted, and commits many claims and
/// settlements in one compare-and-swap write. Two VMs may both consider themselves the owner; the
/// compare-and-swap lets only one of them commit. The class does no input or output: it returns
/// actions that the caller of its methods carries out.
class ClaimBucket
{
public:
    struct Settings
    {
        /// Entries are kept for this time after their expiry. Otherwise a VM whose clock is behind
        /// could claim a key again after its entry was dropped.
        std::chrono::minutes clockTolerance {10};
        /// Maximum size of the stored value, in bytes; the store's own limit is 1 MB.
        std::size_t maxValueSize = 900'000;
        /// Maximum size of a recorded outcome, in bytes. Of a larger outcome only the code is kept.
        std::size_t maxOutcomeSize = 2'048;
        /// Delay before a failed store call is retried.
        std::chrono::milliseconds retryDelay {100};
        /// Grants a claim only after its write is known to be committed. Disabled in tests only.
        bool waitForCommit = true;
        /// Reads the record again after a write whose result is unknown. Without it, such a write
        /// is assumed to have been committed. Disabled in tests only.
        bool readBackUnsure = true;
        /// Commits all pending changes in one write. Without it, each write holds one change.
        /// Disabled in tests only.
        bool groupCommit = true;
    };

    /// Read the stored value and pass it to onRead().
    struct Read
    { };
    /// Write the value with compare-and-swap and pass the outcome to onWrite().
    struct Write
    {
        Revision expected = 0;
        std::string value;
    };
    /// Send the reply to the coordinator of the claim.
    struct Reply
    {
        MemberId coordinator;
        ClaimReply reply;
    };
    /// Confirm to the coordinator that its settlement is committed.
    struct Settled
    {
        MemberId coordinator;
        ClaimToken token;
    };
    using Action = std::variant<Read, Write, Reply, Settled>;
    using Actions = std::vector<Action>;

    explicit ClaimBucket(const Settings &settings);

    /// Accepts a claim. Exactly one Reply to it is returned by a later call. A claim whose token is
    /// already waiting is ignored.
    void claim(const ClaimRequest &request, SteadyTime now);
    /// Accepts a settlement and keeps it until it is committed.
    void settle(const ClaimSettlement &settlement);
    /// Processes the result of a Read; nullopt if the store did not answer.
    Actions onRead(const std::optional<StoredValue> &value, SteadyTime now, WallTime wallNow);
    /// Processes the result of a Write.
    Actions onWrite(const WriteOutcome &outcome, SteadyTime now, WallTime wallNow);
    /// Processes the waiting claims and settlements. Must be called after claim() and settle(), and
    /// at nextTimer().
    Actions step(SteadyTime now, WallTime wallNow);
    /// Returns when step() is next due, or nullopt if nothing is waiting.
    std::optional<SteadyTime> nextTimer() const;
    /// Returns the number of claims and settlements that are not committed yet.
    std::size_t waiting() const { return m_claims.size() + m_settlements.size(); }

private:
    enum class Phase { Idle, Reading, Writing };

    struct PendingClaim
    {
        ClaimRequest request;
        SteadyTime deadline;
        /// True once a write that contains the claim has been sent.
        bool isStaged = false;
    };

    void refuseOverdue(SteadyTime now, Actions &actions);
    void reportCommitted(Actions &actions);
    /// Applies waiting claims and settlements to `record` and replies to claims that need no write.
    /// Returns true if `record` changed.
    bool applyWaiting(ClaimRecord &record, WallTime wallNow, Actions &actions);
    bool applySettlements(ClaimRecord &record) const;
    std::optional<ClaimReply> replyFor(const ClaimRequest &request, const ClaimRecord &record,
                                       WallTime wallNow) const;
    static ClaimReply replyFromEntry(const ClaimRequest &request, const ClaimEntry &entry);
    bool hasCapacityFor(const ClaimRecord &record, const ClaimRequest &request) const;
    void retryLater(SteadyTime now);

    Settings m_settings;
    Phase m_phase = Phase::Idle;
    SteadyTime m_retryAt {};
    /// The record as last read or committed; nullopt if it must be read first.
    std::optional<ClaimRecord> m_known;
    /// Revision of `m_known` in the store.
    Revision m_revision = 0;
    /// The record that the write in progress contains.
    ClaimRecord m_written;
    std::map<ClaimToken, PendingClaim> m_claims;
    /// Tokens of the waiting claims in order of arrival.
    std::deque<ClaimToken> m_order;
    std::map<ClaimToken, ClaimSettlement> m_settlements;
    /// Releases of claims that were refused after a write that contains them was sent. A release is
    /// applied if the claim's token is found in the record.
    std::map<ClaimToken, ClaimSettlement> m_abandoned;
};

} // namespace pimentoward
