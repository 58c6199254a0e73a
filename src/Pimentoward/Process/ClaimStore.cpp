#include "Pimentoward/Process/ClaimStore.h"

#include "Pimentoward/Core/CallPacer.h"
#include "Pimentoward/Process/Timer.h"

#include <xxhash.h>

#include <algorithm>
#include <map>

namespace pimentoward {

struct ClaimStore::State
{
    State(event_base *loop, const Clock &taskClock, Store &taskStore,
          const ClaimStoreSettings &storeSettings, Hooks stateHooks)
        : clock(taskClock)
        , store(taskStore)
        , settings(storeSettings)
        , hooks(std::move(stateHooks))
        , pacer(storeSettings.storeCallsPerSecond, storeSettings.burst)
        , timer(loop, [this] { stepAll(); })
    { }

    const Clock &clock;
    Store &store;
    ClaimStoreSettings settings;
    Hooks hooks;
    CallPacer pacer;
    Timer timer;
    std::map<unsigned, ClaimBucket> bucketsByNumber;

    ClaimBucket &bucketFor(const ServiceName &service, const std::string &key)
    {
        return bucketsByNumber.try_emplace(bucketOf(service, key), settings.bucket).first->second;
    }

    /// Calls step() on each bucket that is due, as long as the rate limit allows store calls.
    void stepAll()
    {
        const SteadyTime now = clock.now();
        for (auto &[number, bucket] : bucketsByNumber) {
            const auto due = bucket.nextTimer();
            if (!due || *due > now) {
                continue;
            }
            if (!pacer.tryAcquire(now)) {
                break;
            }
            apply(number, bucket.step(now, clock.wallNow()));
        }
        startTimer();
    }

    void startTimer()
    {
        const SteadyTime now = clock.now();
        std::optional<SteadyTime> next;
        for (const auto &[number, bucket] : bucketsByNumber) {
            if (const auto due = bucket.nextTimer()) {
                next = std::min(next.value_or(*due), *due);
            }
        }
        if (next) {
            timer.startOnce(std::max(*next, pacer.nextAllowed(now)) - now);
        }
    }

    void apply(unsigned number, const ClaimBucket::Actions &actions)
    {
        for (const ClaimBucket::Action &action : actions) {
            if (std::holds_alternative<ClaimBucket::Read>(action)) {
                read(number);
            } else if (const auto *write = std::get_if<ClaimBucket::Write>(&action)) {
                this->write(number, *write);
            } else if (const auto *reply = std::get_if<ClaimBucket::Reply>(&action)) {
                hooks.reply(reply->coordinator, reply->reply);
            } else if (const auto *settled = std::get_if<ClaimBucket::Settled>(&action)) {
                hooks.settled(settled->coordinator, {settled->token});
            }
        }
    }

    void read(unsigned number)
    {
        store.read(bucketName(number), [this, number](const auto &value, const Reason &) {
            apply(number, bucketsByNumber.at(number).onRead(value, clock.now(), clock.wallNow()));
            startTimer();
        });
    }

    void write(unsigned number, const ClaimBucket::Write &write)
    {
        store.compareAndSwap(
            bucketName(number), write.expected, write.value,
            [this, number](const WriteOutcome &outcome, const Reason &) {
                apply(number,
                      bucketsByNumber.at(number).onWrite(outcome, clock.now(), clock.wallNow()));
                startTimer();
            });
    }
};

ClaimStore::ClaimStore(event_base *loop, const Clock &clock, Store &store,
                       const ClaimStoreSettings &settings, Hooks hooks)
    : m_state(std::make_unique<State>(loop, clock, store, settings, std::move(hooks)))
{ }

ClaimStore::~ClaimStore() = default;

void ClaimStore::claim(const ClaimRequest &request)
{
    m_state->bucketFor(request.service, request.key).claim(request, m_state->clock.now());
    m_state->startTimer();
}

void ClaimStore::settle(const ClaimSettlement &settlement)
{
    m_state->bucketFor(settlement.service, settlement.key).settle(settlement);
    m_state->startTimer();
}

void ClaimStore::changeMembers(std::size_t members)
{
    const double share = m_state->settings.storeCallsPerSecond
        / static_cast<double>(std::max<std::size_t>(members, 1));
    m_state->pacer.changeRate(share, m_state->clock.now());
}

std::size_t ClaimStore::waiting() const
{
    std::size_t total = 0;
    for (const auto &[number, bucket] : m_state->bucketsByNumber) {
        total += bucket.waiting();
    }
    return total;
}

unsigned ClaimStore::bucketOf(const ServiceName &service, const std::string &key)
{
    const std::string name = ClaimRecord::claimName(service, key);
    return static_cast<unsigned>(XXH64(name.data(), name.size(), 0) % buckets);
}

std::string ClaimStore::bucketName(unsigned bucket)
{
    return "claims/" + std::to_string(bucket);
}

} // namespace pimentoward
