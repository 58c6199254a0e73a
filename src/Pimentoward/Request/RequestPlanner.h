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
    /// The usual time of one part, by which replies are compared.
    Duration medianTime {};
    /// Its place among those that wait for room.
    Urgency urgency;
};

/// Plans requests by their routes and by how long replies have taken. Does no input or output.
///
/// Load pattern: as its parts' classes have it (AnswerTiming, RouteLatencies, WeightedRoundRobin,
/// UrgencyQueue).
class RequestPlanner
{
public:
    struct Settings
    {
        AnswerTiming::Settings timing;
        RouteLatencies::Settings latencies;
        /// A request that finds no room is refused after this share of its route's objective.
        double refuseShare = 0.2;
        /// A part that is sent within this many of its usual times before the answer is due is
        /// expected to miss it.
        double mediansNeeded = 2;
    };

    /// What is known of a request when it has been read.
    struct Arrival
    {
        SteadyTime readAt {};
        /// Time that the caller still waits, from its sending; nothing where it states none.
        std::optional<Duration> timeLeft;
        bool isFirstOnConnection = false;
    };

    explicit RequestPlanner(const Settings &settings);

    RequestPlan plan(const Route &route, const Arrival &arrival);
    /// A part of a request on `route` was answered after `time`.
    void onReply(const Route &route, Duration time) { m_latencies.add(route, time); }

private:
    GatherPlan gatherPlan(const Route &route, const Arrival &arrival);

    Settings m_settings;
    AnswerTiming m_timing;
    RouteLatencies m_latencies;
    WeightedRoundRobin m_roundRobin;
};

} // namespace pimentoward
