#pragma once

#include "Pimentoward/Connection/BackendDispatcher.h"
#include "standins/BackendServerModel.h"
#include "tests/support/VirtualClock.h"

#include <functional>
#include <map>
#include <random>

namespace pimentoward::tests {

/// Drives one BackendDispatcher against one backend server model on a virtual clock, with a network
/// between them that delays, loses and breaks.
class BackendSimulation
{
public:
    struct Settings
    {
        BackendDispatcher::Settings dispatcher;
        standins::BackendServerModel::Settings model;
        Duration minDelay = std::chrono::microseconds(200);
        Duration maxDelay = std::chrono::milliseconds(3);
        /// Share of replies that never come.
        double lostReplies = 0;
        /// Share of requests whose connection breaks while the backend server works on.
        double brokenConnections = 0;
        /// Share of cancels that the backend server ignores.
        double ignoredCancels = 0;
        /// Share of subrequests that are cancelled at some time.
        double cancels = 0;
    };

    BackendSimulation(const Settings &settings, std::uint32_t seed);

    /// Lets `count` subrequests addArrivals, on average `spacing` apart, from the present time on.
    void addArrivals(int count, Duration spacing);
    /// Runs `hook` at a time from now.
    void after(Duration delay, std::function<void()> hook);
    /// Restarts the backend server: its connections break.
    void restart();
    /// Runs until nothing is left to happen.
    void runToEnd();

    standins::BackendServerModel &model() { return m_model; }
    const BackendDispatcher &dispatcher() const { return m_dispatcher; }
    int succeeded() const { return m_succeeded; }
    /// Subrequests whose number of outcomes is not one.
    int withWrongOutcomeCount() const;
    /// Subrequests refused as not run that the backend server has a record of.
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

    double uniform();
    Duration delay();
    void apply(const BackendDispatcher::Actions &actions);
    void dispatch(DispatchToken token);
    void begin(DispatchToken token, Duration allowed);
    void end(DispatchToken token, Incarnation incarnation, bool whole);
    void outcome(DispatchToken token, ResultCode code, bool isProved, Incarnation incarnation);
    void finish(DispatchToken token, ResultCode code);
    void cancelRunning(DispatchToken token);

    Settings m_settings;
    VirtualClock m_clock;
    std::mt19937 m_random;
    standins::BackendServerModel m_model;
    BackendDispatcher m_dispatcher;
    std::multimap<SteadyTime, std::function<void()>> m_events;
    std::map<DispatchToken, Subrequest> m_subrequests;
    /// Dispatched subrequests whose outcome has not come.
    std::map<DispatchToken, bool> m_open;
    DispatchToken m_lastToken = 0;
    /// The incarnation that the owner's connections lead to.
    Incarnation m_connectedTo = 1;
    int m_succeeded = 0;
};

} // namespace pimentoward::tests
