#pragma once

#include "Pimentoward/Sharing/RateAsker.h"
#include "tests/support/EventQueue.h"

#include <memory>
#include <random>

namespace pimentoward::tests {

/// The decision objects of the rate limits of many VMs, with messages between them that come late
/// or are lost. There is one workspace.
class RateFleet
{
public:
    struct Settings
    {
        std::size_t vms = 7;
        unsigned seed = 1;
        RateLimit limit {20, 40};
        RateTolerance tolerance {std::chrono::seconds(5), 0.1, 20};
        RateGranter::Settings granter;
        /// Fraction of the messages that are lost, and of those that take up to `lateTime`.
        double lostRatio = 0;
        double lateRatio = 0;
        Duration lateTime = std::chrono::milliseconds(150);
    };

    explicit RateFleet(const Settings &settings);

    /// Ends a VM and starts it again, with empty memory, after `time`.
    void kill(std::size_t vm, Duration time);
    /// Lets a VM do nothing for `time`; what reaches it waits.
    void freeze(std::size_t vm, Duration time);
    /// Puts a VM into a group; VMs of different groups do not reach each other, and only those of
    /// group 0 reach the store.
    void cut(std::size_t vm, int group, Duration time);
    /// Turns a VM away from the store, but not from the other VMs.
    void cutFromStore(std::size_t vm, Duration time);
    void request(std::size_t vm);

    EventQueue &queue() { return m_queue; }
    std::mt19937 &random() { return m_random; }
    std::size_t size() const { return m_vms.size(); }
    /// When requests were admitted, in order.
    const std::vector<SteadyTime> &admitted() const { return m_admitted; }
    /// When refused requests may be sent again.
    const std::vector<Duration> &returns() const { return m_returns; }
    std::size_t asks() const { return m_asks; }
    /// The greatest number of requests that were admitted within one window, less what may be.
    double worstExcess() const;

private:
    struct Vm
    {
        Vm(const RateTolerance &tolerance, const RateGranter::Settings &settings)
            : parts(tolerance)
            , granter(settings)
            , asker(parts, {})
        { }

        RateParts parts;
        RateGranter granter;
        RateAsker asker;
        SteadyTime viewAt {};
        std::shared_ptr<const std::vector<MemberId>> view;
    };
    struct Place
    {
        std::unique_ptr<Vm> vm;
        /// Number of the run; what belongs to an earlier one is dropped.
        unsigned run = 0;
        int group = 0;
        bool reachesStore = true;
        SteadyTime frozenUntil {};
        /// When it last renewed its record in the store.
        SteadyTime seenAt {};
    };
    using Members = std::shared_ptr<const std::vector<MemberId>>;
    struct Listing
    {
        SteadyTime at;
        Members members;
    };

    void start(std::size_t vm);
    void follow(std::size_t vm);
    void runStore();
    bool chance(double ratio) { return std::uniform_real_distribution<>(0, 1)(m_random) < ratio; }
    Duration upTo(Duration time);
    /// Runs `event` on a VM once it is not frozen, unless its run has ended.
    void at(std::size_t vm, Duration delay, std::function<void(Vm &)> event);
    void send(std::size_t from, std::size_t to, std::function<void(Vm &)> event);
    void carryOut(std::size_t vm, const RateAsker::Actions &actions);
    void ask(std::size_t vm, const RateAsker::Ask &ask);

    Settings m_settings;
    std::string m_workspace;
    EventQueue m_queue;
    std::mt19937 m_random;
    std::vector<Place> m_vms;
    std::deque<Listing> m_listings;
    std::vector<SteadyTime> m_admitted;
    std::vector<Duration> m_returns;
    std::size_t m_asks = 0;
};

} // namespace pimentoward::tests
