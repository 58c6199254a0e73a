#pragma once

#include "Pimentoward/Process/Store.h"
#include "standins/PlatformStore.h"
#include "tests/support/VirtualClock.h"

#include <functional>
#include <map>
#include <random>

namespace pimentoward::tests {

/// Runs events on a virtual clock in the order of their times. Events with equal times run in the
/// order in which they were added.
class EventQueue
{
public:
    VirtualClock &clock() { return m_clock; }
    SteadyTime now() const { return m_clock.now(); }
    /// Runs `event` once `delay` has passed.
    void after(Duration delay, std::function<void()> event);
    /// Runs all events up to `limit` and leaves the clock at `limit`.
    void runUntil(SteadyTime limit);

private:
    VirtualClock m_clock;
    std::multimap<SteadyTime, std::function<void()>> m_events;
};

/// How the simulated platform fails.
enum class StoreFault {
    None,
    /// Refuses every call without executing it.
    Down,
    /// Executes every call but loses all answers.
    LoseAnswers,
    /// Executes every call but loses the answers to writes.
    LoseWriteAnswers,
    /// Delays requests and answers by up to 2.5 s each.
    Slow,
    /// Neither executes nor answers any call.
    Unresponsive
};

/// A simulated platform on a virtual clock, which several VMs share.
class StoreFake
{
public:
    StoreFake(EventQueue &queue, std::mt19937 &random)
        : m_queue(queue)
        , m_random(random)
    { }

    standins::PlatformStore &state() { return m_state; }
    void change(StoreFault fault) { m_fault = fault; }
    StoreFault fault() const { return m_fault; }

private:
    friend class StoreFakeClient;

    EventQueue &m_queue;
    std::mt19937 &m_random;
    standins::PlatformStore m_state;
    StoreFault m_fault = StoreFault::None;
};

/// The store client of one VM. Each call takes a random time in each direction, and fails if there
/// is no answer within 1 s.
class StoreFakeClient final : public Store
{
public:
    explicit StoreFakeClient(StoreFake &fake)
        : m_fake(fake)
    { }

    /// Sets the function that delivers answers to the VM's process, for example after a freeze. By
    /// default they are delivered at once.
    void deliverBy(std::function<void(std::function<void()>)> hook) { m_deliver = std::move(hook); }
    /// Cuts the connection from the VM to the store, or restores it.
    void cut(bool isCut) { m_isCut = isCut; }

    void read(const std::string &key, ReadHook done) override;
    void list(const std::string &prefix, KeysHook done) override;
    void compareAndSwap(const std::string &key, Revision expected, const std::string &value,
                        WriteHook done) override;
    void watch(const std::string &key, Revision after, std::chrono::milliseconds wait,
               ReadHook done) override;
    void listVms(VmListHook done) override;

private:
    /// Why a call has no result. Only a call without an answer (Lost) can have taken effect.
    enum class Failure { NotSent, Refused, Lost };

    /// Runs `work` at the store, and later at the VM the hook that `work` returns. If the call
    /// fails, runs `failed` at the VM instead.
    void call(bool isWrite, std::function<std::function<void()>()> work,
              const std::function<void(Failure)> &failed);
    /// Reads the key until its revision is newer than `after`, a read fails or `limit` is reached.
    void poll(const std::string &key, Revision after, SteadyTime limit, const ReadHook &done);

    StoreFake &m_fake;
    bool m_isCut = false;
    std::function<void(std::function<void()>)> m_deliver = [](const auto &answer) { answer(); };
};

} // namespace pimentoward::tests
