#include <Pimentoward/Process/ClaimBucket.h>

#include <iostream>
#include <map>
#include <string>

using namespace pimentoward;

namespace {

/// The minimal store that a claim bucket needs: one value with compare-and-swap.
struct OneValueStore
{
    StoredValue stored;

    WriteOutcome compareAndSwap(const ClaimBucket::Write &write)
    {
        if (write.expected != stored.revision) {
            return {WriteStatus::Conflict, stored.revision};
        }
        stored = {write.value, stored.revision + 1};
        return {WriteStatus::Committed, stored.revision};
    }
};

/// Carries out the actions of a bucket until it has none left. Returns the verdicts by token.
std::map<ClaimToken, ClaimVerdict> runToCompletion(ClaimBucket &bucket, OneValueStore &store,
                                                   SteadyTime now, WallTime wallNow)
{
    std::map<ClaimToken, ClaimVerdict> verdicts;
    ClaimBucket::Actions actions = bucket.step(now, wallNow);
    while (!actions.empty()) {
        ClaimBucket::Actions next;
        const auto append = [&next](ClaimBucket::Actions more) {
            next.insert(next.end(), more.begin(), more.end());
        };
        for (const ClaimBucket::Action &action : actions) {
            if (std::holds_alternative<ClaimBucket::Read>(action)) {
                append(bucket.onRead(store.stored, now, wallNow));
            } else if (const auto *write = std::get_if<ClaimBucket::Write>(&action)) {
                append(bucket.onWrite(store.compareAndSwap(*write), now, wallNow));
            } else if (const auto *reply = std::get_if<ClaimBucket::Reply>(&action)) {
                verdicts[reply->reply.token] = reply->reply.verdict;
            }
        }
        actions = std::move(next);
    }
    return verdicts;
}

} // namespace

/// Claims one idempotency key twice, with different tokens. The first claim is granted, the second
/// is not.
int main()
{
    const SteadyTime now {std::chrono::hours(1)};
    const WallTime wallNow {std::chrono::hours(1)};
    OneValueStore store;
    ClaimBucket bucket({});
    for (const char *token : {"first", "second"}) {
        ClaimRequest request;
        request.token = token;
        request.service = "pressing";
        request.key = "order-1";
        request.expiry = wallNow + std::chrono::hours(1);
        request.timeLeft = std::chrono::seconds(1);
        bucket.claim(request, now);
    }
    const auto verdicts = runToCompletion(bucket, store, now, wallNow);
    const bool isCorrect = verdicts.at("first") == ClaimVerdict::Granted
        && verdicts.at("second") == ClaimVerdict::MayHaveRun;
    std::cout << (isCorrect ? "one of two claims granted\n" : "wrong verdicts\n");
    return isCorrect ? 0 : 1;
}
