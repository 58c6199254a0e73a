#pragma once

#include "Pimentoward/Process/ClaimBucket.h"
#include "Pimentoward/Request/Order.h"
#include "standins/PlatformStore.h"
#include "tests/support/EventQueue.h"

#include <memory>
#include <random>

namespace pimentoward::tests {

/// Simulates orders on a virtual clock: two VMs that both consider themselves the owner of one
/// claim bucket, a store that fails and loses answers, callers that reuse idempotency keys, and
/// backend servers that record each run.
class ClaimSimulation
{
public:
    struct Settings
    {
        ClaimBucket::Settings bucket;
        Order::Settings order;
        /// Share of store calls whose answer is lost. Half of the writes among them take effect.
        double lostAnswers = 0.2;
        /// Share of subrequests whose reply is lost.
        double lostReplies = 0.15;
        /// Share of orders whose coordinator crashes for good. At each step of an order the
        /// probability of a crash is a third of this value.
        double coordinatorCrashes = 0.1;
        /// Share of steps at which the coordinator of an order is frozen for up to a second.
        double freezes = 0.05;
    };

    /// The answer to one caller.
    struct CallerAnswer
    {
        std::string idempotencyKey;
        std::string requestId;
        Reason outcome;
    };

    ClaimSimulation(const Settings &settings, unsigned seed);

    /// Sends `orders` orders with few different idempotency keys within 6 s, during which the store
    /// has one outage, and runs for 10 s more.
    void run(unsigned orders);

    const std::vector<CallerAnswer> &callerAnswers() const { return m_callerAnswers; }
    /// Number of runs by idempotency key and by request ID, as recorded by the backend servers.
    const std::map<std::string, unsigned> &runsByKey() const { return m_runsByKey; }
    const std::map<std::string, unsigned> &runsByRequest() const { return m_runsByRequest; }
    unsigned storeWrites() const { return m_storeWrites; }
    /// Number of orders that got no answer.
    unsigned unanswered() const
    {
        return m_started - static_cast<unsigned>(m_callerAnswers.size());
    }
    /// Number of orders whose coordinator crashed.
    unsigned crashed() const { return m_crashed; }

private:
    struct Vm
    {
        std::unique_ptr<ClaimBucket> bucket;
    };

    struct OrderState
    {
        std::unique_ptr<Order> order;
        bool isCrashed = false;
        SteadyTime frozenUntil {};
    };

    /// Returns true with probability `share`.
    bool chance(double share);
    Duration randomDelay();
    void startOrder(unsigned number);
    /// Runs `work` on an order. If its coordinator is frozen, runs it after the freeze. If the
    /// coordinator has crashed, does nothing.
    void deliver(const std::string &id, const std::function<Order::Actions(Order &)> &work);
    void apply(const std::string &id, const Order::Actions &actions);
    void dispatch(const std::string &id, const SubrequestItem &item);
    void apply(std::size_t vm, const ClaimBucket::Actions &actions);
    void stepBucket(std::size_t vm);
    void read(std::size_t vm);
    void write(std::size_t vm, const ClaimBucket::Write &write);

    Settings m_settings;
    std::mt19937 m_random;
    EventQueue m_events;
    standins::PlatformStore m_store;
    bool m_storeDown = false;
    std::vector<Vm> m_vms;
    std::map<std::string, OrderState> m_orders;
    std::vector<CallerAnswer> m_callerAnswers;
    std::map<std::string, unsigned> m_runsByKey;
    std::map<std::string, unsigned> m_runsByRequest;
    unsigned m_storeWrites = 0;
    unsigned m_started = 0;
    unsigned m_crashed = 0;
};

} // namespace pimentoward::tests
