#pragma once

#include "Pimentoward/Process/Store.h"
#include "standins/PlatformStore.h"
#include "tests/support/VirtualClock.h"

#include <functional>
#include <map>
#include <random>

namespace pimentoward::tests {

/// Events on a virtual clock, run in the order of their times.
class EventQueue
{
public:
    VirtualClock &clock() { return m_clock; }
    SteadyTime now() const { return m_clock.now(); }
    void after(Duration delay, std::function<void()> event);
    void runUntil(SteadyTime end);

private:
    VirtualClock m_clock;
    std::multimap<SteadyTime, std::function<void()>> m_events;
};

/// How the faked platform misbehaves.
enum class StoreFault { None, Down, LoseAnswers, LoseWriteAnswers, Slow, Silent };

/// The platform on a virtual clock, as several VMs see it.
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

/// One VM's store. Each call goes there and back with a delay and ends at its time limit.
class StoreFakeClient final : public Store
{
public:
    explicit StoreFakeClient(StoreFake &fake)
        : m_fake(fake)
    { }

    /// How answers reach the VM's process, which may be frozen; by default at once.
    void deliverBy(std::function<void(std::function<void()>)> hook) { m_deliver = std::move(hook); }
    /// Cuts the VM off from the store, or heals the cut.
    void cut(bool isCut) { m_isCut = isCut; }

    void read(const std::string &key, ReadHook done) override;
    void list(const std::string &prefix, KeysHook done) override;
    void compareAndSwap(const std::string &key, Revision expected, const std::string &value,
                        WriteHook done) override;
    void watch(const std::string &key, Revision after, std::chrono::milliseconds wait,
               ReadHook done) override;
    void listVms(VmListHook done) override;

private:
    enum class Failure { NotSent, Refused, Lost };

    /// Runs `work` at the store and the hook that it returns back here, or `failed` here.
    void call(bool isWrite, std::function<std::function<void()>()> work,
              const std::function<void(Failure)> &failed);
    void poll(const std::string &key, Revision after, SteadyTime end, const ReadHook &done);

    StoreFake &m_fake;
    bool m_isCut = false;
    std::function<void(std::function<void()>)> m_deliver = [](const auto &answer) { answer(); };
};

} // namespace pimentoward::tests
