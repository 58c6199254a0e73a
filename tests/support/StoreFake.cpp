#include "tests/support/StoreFake.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace pimentoward::tests {

namespace {

constexpr std::chrono::milliseconds callTimeout {1000};
constexpr std::chrono::milliseconds pollPeriod {150};
const Reason storeDown {ResultCode::StoreUnavailable, "down"};

} // namespace

void EventQueue::after(Duration delay, std::function<void()> event)
{
    m_events.emplace(now() + delay, std::move(event));
}

void EventQueue::runUntil(SteadyTime limit)
{
    while (!m_events.empty() && m_events.begin()->first <= limit) {
        const auto event = std::move(m_events.begin()->second);
        m_clock.advance(m_events.begin()->first - now());
        m_events.erase(m_events.begin());
        event();
    }
    m_clock.advance(limit - now());
}

void StoreFakeClient::call(bool isWrite, std::function<std::function<void()>()> work,
                           const std::function<void(Failure)> &failed)
{
    if (m_isCut) {
        m_fake.m_queue.after(callTimeout,
                             [this, failed] { m_deliver([failed] { failed(Failure::NotSent); }); });
        return;
    }
    const auto isDone = std::make_shared<bool>(false);
    // Delivers only the first result of a call: its answer or its timeout.
    const auto deliverOnce = [this, isDone](const std::function<void()> &hook) {
        return [this, isDone, hook] {
            m_deliver([isDone, hook] {
                if (!std::exchange(*isDone, true)) {
                    hook();
                }
            });
        };
    };
    m_fake.m_queue.after(callTimeout, deliverOnce([failed] { failed(Failure::Lost); }));
    const auto randomDelay = [this] {
        const unsigned maxDelayMillis = m_fake.m_fault == StoreFault::Slow ? 2500 : 10;
        return std::chrono::milliseconds(1 + m_fake.m_random() % maxDelayMillis);
    };
    m_fake.m_queue.after(
        randomDelay(), [this, isWrite, deliverOnce, randomDelay, work = std::move(work), failed] {
            if (m_fake.m_fault == StoreFault::Down) {
                m_fake.m_queue.after(randomDelay(),
                                     deliverOnce([failed] { failed(Failure::Refused); }));
            } else if (m_fake.m_fault != StoreFault::Unresponsive) {
                const auto hook = work();
                const bool isLost = m_fake.m_fault == StoreFault::LoseAnswers
                    || (isWrite && m_fake.m_fault == StoreFault::LoseWriteAnswers);
                if (!isLost) {
                    m_fake.m_queue.after(randomDelay(), deliverOnce(hook));
                }
            }
        });
}

void StoreFakeClient::read(const std::string &key, ReadHook done)
{
    call(
        false,
        [this, key, done]() -> std::function<void()> {
            return [done, value = m_fake.m_state.read(key)] { done(value, {}); };
        },
        [done](Failure) { done(std::nullopt, storeDown); });
}

void StoreFakeClient::list(const std::string &prefix, KeysHook done)
{
    call(
        false,
        [this, prefix, done]() -> std::function<void()> {
            return [done, keys = m_fake.m_state.keysWithPrefix(prefix)] { done(keys, {}); };
        },
        [done](Failure) { done(std::nullopt, storeDown); });
}

void StoreFakeClient::compareAndSwap(const std::string &key, Revision expected,
                                     const std::string &value, WriteHook done)
{
    call(
        true,
        [this, key, expected, value, done]() -> std::function<void()> {
            const WriteOutcome outcome = m_fake.m_state.compareAndSwap(key, expected, value);
            return [done, outcome] { done(outcome, {}); };
        },
        [done](Failure failure) {
            done({failure == Failure::Lost ? WriteStatus::Unsure : WriteStatus::Refused, 0},
                 storeDown);
        });
}

void StoreFakeClient::watch(const std::string &key, Revision after, std::chrono::milliseconds wait,
                            ReadHook done)
{
    poll(key, after, m_fake.m_queue.now() + wait, done);
}

void StoreFakeClient::poll(const std::string &key, Revision after, SteadyTime limit,
                           const ReadHook &done)
{
    read(key, [this, key, after, limit, done](const auto &stored, const Reason &reason) {
        const bool isOver = !stored || stored->revision > after || m_fake.m_queue.now() >= limit;
        if (isOver) {
            done(stored, reason);
            return;
        }
        m_fake.m_queue.after(pollPeriod,
                             [this, key, after, limit, done] { poll(key, after, limit, done); });
    });
}

void StoreFakeClient::listVms(VmListHook done)
{
    call(
        false,
        [this, done]() -> std::function<void()> {
            std::vector<VmRecord> vms;
            for (const auto &[id, vm] : m_fake.m_state.vms()) {
                vms.push_back(vm);
            }
            return [done, vms] { done(vms, {}); };
        },
        [done](Failure) { done(std::nullopt, storeDown); });
}

} // namespace pimentoward::tests
