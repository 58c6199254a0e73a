#pragma once

#include "Pimentoward/Process/ClaimRecord.h"
#include "Pimentoward/Process/Store.h"

#include <deque>
#include <map>
#include <variant>
#include <vector>

namespace pimentoward {

/// Decisions of the owner of one claim bucket: many claims and settlements are committed in one
/// compare-and-swap write. Two VMs may both think that they own the bucket; the compare-and-swap
/// lets only one of them commit. Does no input or output.
class ClaimBucket
{
public:
    struct Settings
    {
        /// Entries outlive their expiry by this time, so that a VM whose clock is behind cannot
        /// take a key again that others have forgotten.
        std::chrono::minutes clockTolerance {10};
        /// Longest stored value, in bytes; the store's own limit is 1 MB.
        std::size_t maxValueSize = 900'000;
        /// Longest outcome that is recorded; a longer one is kept as its code alone. In bytes.
        std::size_t maxOutcomeSize = 2'048;
        /// Pause before a failed store call is made again.
        std::chrono::milliseconds retryDelay {100};
        /// Off in tests only: grants before the write is known to have taken effect.
        bool waitForCommit = true;
        /// Off in tests only: takes an unsure write for one that took effect.
        bool readBackUnsure = true;
        /// Off in tests only: one change a write.
        bool groupCommit = true;
    };

    struct Read
    { };
    struct Write
    {
        Revision expected = 0;
        std::string value;
    };
    struct Reply
    {
        MemberId coordinator;
        ClaimReply reply;
    };
    struct Settled
    {
        MemberId coordinator;
        ClaimToken token;
    };
    using Action = std::variant<Read, Write, Reply, Settled>;
    using Actions = std::vector<Action>;

    explicit ClaimBucket(const Settings &settings);

    /// Takes a claim; its one Reply comes at once or later. A token that waits already is ignored.
    void claim(const ClaimRequest &request, SteadyTime now);
    /// Takes a settlement; it is kept until it is committed.
    void settle(const ClaimSettlement &settlement);
    /// The answer to Read; nullopt where the store did not answer.
    Actions onRead(const std::optional<StoredValue> &value, SteadyTime now, WallTime wallNow);
    /// The answer to Write.
    Actions onWrite(const WriteOutcome &outcome, SteadyTime now, WallTime wallNow);
    /// Goes on with what waits: to be called after claim() and settle(), and at nextTimer().
    Actions step(SteadyTime now, WallTime wallNow);
    /// When step() is next due, if anything waits.
    std::optional<SteadyTime> nextTimer() const;
    /// Claims and settlements that are not committed.
    std::size_t waiting() const { return m_claims.size() + m_settlements.size(); }

private:
    enum class Phase { Idle, Reading, Writing };

    struct PendingClaim
    {
        ClaimRequest request;
        SteadyTime deadline;
        /// True once a write that holds the claim has been sent.
        bool isStaged = false;
    };

    void refuseOverdue(SteadyTime now, Actions &actions);
    void answerCommitted(Actions &actions);
    /// Applies what waits to `record`; answers what needs no write. True where it changed.
    bool applyWaiting(ClaimRecord &record, WallTime wallNow, Actions &actions);
    bool applySettlements(ClaimRecord &record) const;
    std::optional<ClaimReply> answerFor(const ClaimRequest &request, const ClaimRecord &record,
                                        WallTime wallNow) const;
    static ClaimReply replyFromEntry(const ClaimRequest &request, const ClaimEntry &entry);
    bool hasCapacityFor(const ClaimRecord &record, const ClaimRequest &request) const;
    void retryLater(SteadyTime now);

    Settings m_settings;
    Phase m_phase = Phase::Idle;
    SteadyTime m_retryAt {};
    /// The record as last read or committed; nothing where it must be read.
    std::optional<ClaimRecord> m_known;
    Revision m_revision = 0;
    ClaimRecord m_written;
    std::map<ClaimToken, PendingClaim> m_claims;
    std::deque<ClaimToken> m_order;
    std::map<ClaimToken, ClaimSettlement> m_settlements;
    /// Claims that were refused after a write that holds them was sent: released when seen.
    std::map<ClaimToken, ClaimSettlement> m_abandoned;
};

} // namespace pimentoward
