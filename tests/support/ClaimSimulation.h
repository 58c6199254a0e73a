#pragma once

#include "Pimentoward/Process/ClaimBucket.h"
#include "Pimentoward/Request/Order.h"
#include "standins/PlatformStore.h"
#include "tests/support/EventQueue.h"

#include <memory>
#include <random>

namespace pimentoward::tests {

/// A small world for orders on a virtual clock: one claim bucket which two VMs both believe to own,
/// a store that fails and loses answers, callers that repeat their keys, and backend servers that
/// record each run.
class ClaimSimulation
{
public:
    struct Settings
    {
        ClaimBucket::Settings bucket;
        Order::Settings order;
        /// Share of store calls whose answer is lost, half of them before they take effect.
        double lostAnswers = 0.2;
        /// Share of subrequests whose reply is lost.
        double lostReplies = 0.15;
        /// Share of orders whose coordinator stops for good, at any step.
        double coordinatorCrashes = 0.1;
        /// Share of steps at which a VM is frozen for up to a second.
        double freezes = 0.05;
    };

    /// What a caller was told.
    struct CallerAnswer
    {
        std::string idempotencyKey;
        std::string requestId;
        Reason outcome;
    };

    ClaimSimulation(const Settings &settings, unsigned seed);

    /// Sends `orders` orders with few keys over a few seconds, with a store outage, to the end.
    void run(unsigned orders);

    const std::vector<CallerAnswer> &callerAnswers() const { return m_callerAnswers; }
    /// Runs by idempotency key, and by request id, as the backend servers recorded them.
    const std::map<std::string, unsigned> &runsByKey() const { return m_runsByKey; }
    const std::map<std::string, unsigned> &runsByRequest() const { return m_runsByRequest; }
    unsigned storeWrites() const { return m_storeWrites; }
    unsigned unanswered() const
    {
        return m_started - static_cast<unsigned>(m_callerAnswers.size());
    }
    unsigned crashed() const { return m_crashed; }

private:
    struct Vm
    {
        std::unique_ptr<ClaimBucket> bucket;
    };

    struct Running
    {
        std::unique_ptr<Order> order;
        bool isCrashed = false;
        SteadyTime frozenUntil {};
    };

    bool chance(double share);
    Duration someDelay();
    void startOrder(unsigned number);
    /// Runs `work` for an order, later where its VM is frozen, never where it has crashed.
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
    std::map<std::string, Running> m_orders;
    std::vector<CallerAnswer> m_callerAnswers;
    std::map<std::string, unsigned> m_runsByKey;
    std::map<std::string, unsigned> m_runsByRequest;
    unsigned m_storeWrites = 0;
    unsigned m_started = 0;
    unsigned m_crashed = 0;
};

} // namespace pimentoward::tests
