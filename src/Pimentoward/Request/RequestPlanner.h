#pragma once

#include "Pimentoward/Request/AnswerTiming.h"
#include "Pimentoward/Request/GatherTypes.h"
#include "Pimentoward/Request/RouteLatencies.h"
#include "Pimentoward/Request/UrgencyQueue.h"
#include "Pimentoward/Request/WeightedRoundRobin.h"

#include <optional>

namespace pimentoward {

/// How one request is to be carried out.
struct RequestPlan
{
    GatherPlan gather;
    /// Median time of one part on this route; reply times are compared with it.
    Duration medianTime {};
    /// Determines the position of the request in the queue for free capacity.
    Urgency urgency;
    /// False if the request is expected to take longer than this VM serves.
    bool canBeAnswered = true;
};

/// Plans requests based on their routes and on the observed reply times. Performs no I/O.
///
/// Load pattern: see AnswerTiming, RouteLatencies, WeightedRoundRobin and UrgencyQueue.
class RequestPlanner
{
public:
    struct Settings
    {
        AnswerTiming::Settings timing;
        RouteLatencies::Settings latencies;
        /// A request of which nothing could be sent is refused after this share of its route's
        /// latency objective.
        double refuseShare = 0.2;
        /// A part that is sent later than this many median times before the answer is due is
        /// expected to be late.
        double mediansNeeded = 2;
    };

    /// What is known about a request when it has been read.
    struct Arrival
    {
        SteadyTime readAt {};
        /// How long the caller waits, counted from when it sent the request; nothing if it states
        /// no time.
        std::optional<Duration> timeLeft;
        bool isFirstOnConnection = false;
        /// Priority of the caller's workspace, in place of the route's.
        std::optional<int> priority = std::nullopt;
    };

    explicit RequestPlanner(const Settings &settings);

    /// Sets the time by which this VM answers all requests because it stops.
    void changeLastAnswerTime(SteadyTime time) { m_lastAnswerAt = time; }
    /// Plans a request on `route`.
    RequestPlan plan(const Route &route, const Arrival &arrival);
    /// Records that a part of a request on `route` was answered or cancelled after `time`.
    void onReply(const Route &route, Duration time) { m_latencies.add(route, time); }

private:
    GatherPlan gatherPlan(const Route &route, const Arrival &arrival);
    /// Ends the request with the service of this VM, if it is about to stop.
    void endWithService(RequestPlan &plan, const Route &route, SteadyTime readAt,
                        Duration needed) const;

    Settings m_settings;
    AnswerTiming m_timing;
    RouteLatencies m_latencies;
    WeightedRoundRobin m_roundRobin;
    std::optional<SteadyTime> m_lastAnswerAt;
};

} // namespace pimentoward
