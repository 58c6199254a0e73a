#pragma once

#include "Pimentoward/Connection/BackendDispatcher.h"
#include "standins/BackendServerModel.h"
#include "tests/support/VirtualClock.h"

#include <functional>
#include <map>
#include <random>

namespace pimentoward::tests {

/// Runs one BackendDispatcher against the model of one backend server on a virtual clock. The
/// simulated network between them delays messages, loses replies and breaks connections.
class BackendSimulation
{
public:
    struct Settings
    {
        BackendDispatcher::Settings dispatcher;
        standins::BackendServerModel::Settings model;
        /// Limits of the random delay of each message, in either direction.
        Duration minDelay = std::chrono::microseconds(200);
        Duration maxDelay = std::chrono::milliseconds(3);
        /// Share of replies that are lost.
        double lostReplies = 0;
        /// Share of subrequests whose connection breaks while the backend server continues to work
        /// on them.
        double brokenConnections = 0;
        /// Share of cancels that the backend server ignores.
        double ignoredCancels = 0;
        /// Share of subrequests that are cancelled, each in the first quarter of its time to the
        /// deadline.
        double cancels = 0;
    };

    BackendSimulation(const Settings &settings, std::uint32_t seed);

    /// Schedules the arrival of `count` subrequests from now on, on average `meanInterval` apart.
    void addArrivals(int count, Duration meanInterval);
    /// Runs `hook` once `delay` has passed.
    void after(Duration delay, std::function<void()> hook);
    /// Restarts the backend server, which breaks its connections.
    void restart();
    /// Runs until no event and no timer is left.
    void runToEnd();

    standins::BackendServerModel &model() { return m_model; }
    const BackendDispatcher &dispatcher() const { return m_dispatcher; }
    int succeeded() const { return m_succeeded; }
    /// Number of subrequests that have no outcome, or more than one.
    int wrongOutcomeCounts() const;
    /// Number of subrequests answered as not run although the backend server has a record of them.
    int falseNotRun() const;
    SteadyTime now() const { return m_clock.now(); }

private:
    struct Subrequest
    {
        SteadyTime deadline;
        SteadyTime dispatched {};
        int outcomes = 0;
        ResultCode code = ResultCode::Ok;
    };

    /// Returns a random number in [0, 1).
    double randomShare();
    Duration randomDelay();
    void apply(const BackendDispatcher::Actions &actions);
    void dispatch(DispatchToken token);
    void startWork(DispatchToken token, Duration allowedTime);
    void endWork(DispatchToken token, Incarnation incarnation, bool isComplete);
    void onOutcome(DispatchToken token, ResultCode code, bool isEndProved, Incarnation incarnation);
    void recordOutcome(DispatchToken token, ResultCode code);
    void cancelRunning(DispatchToken token);

    Settings m_settings;
    VirtualClock m_clock;
    std::mt19937 m_random;
    standins::BackendServerModel m_model;
    BackendDispatcher m_dispatcher;
    std::multimap<SteadyTime, std::function<void()>> m_events;
    std::map<DispatchToken, Subrequest> m_subrequests;
    /// Dispatched subrequests that have no outcome yet.
    std::map<DispatchToken, bool> m_inFlight;
    DispatchToken m_lastToken = 0;
    /// Incarnation of the backend server that the dispatcher's connections lead to.
    Incarnation m_connectedIncarnation = 1;
    int m_succeeded = 0;
};

} // namespace pimentoward::tests
