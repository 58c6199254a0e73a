#pragma once

#include "Pimentoward/Core/Types.h"

namespace pimentoward {

/// Decides when a request is answered with the replies received so far. Performs no I/O.
///
/// Load pattern: about every second fan-out reaches a backend server that is paused. An answer
/// within the latency objective is worth the square of its coverage, and a late answer is worth
/// almost nothing. The best time to answer is therefore just before the objective expires, measured
/// by the caller's clock.
class AnswerTiming
{
public:
    struct Settings
    {
        /// Time that an answer takes from this VM to the caller.
        Duration answerTransitTime = std::chrono::milliseconds(10);
        /// Time from when the caller sends a request until this VM has read it.
        Duration requestTransitTime = std::chrono::milliseconds(4);
        /// Transit time of a request whose connection had to be opened first.
        Duration requestTransitTimeWithConnect = std::chrono::milliseconds(12);
        /// A request without a complete answer ends this long before the caller stops waiting, so
        /// that the caller still receives a partial answer or an error.
        Duration giveUpMargin = std::chrono::milliseconds(15);
        /// A caller's retry that arrives with less than this share of the objective left gets the
        /// full objective again, because the first attempt was refused or is already late.
        double minObjectiveShare = 0.4;
        /// Ends a request at the timeout of its route. Tests disable this; a request then runs
        /// until its caller stops waiting.
        bool endsAtTimeout = true;
        /// Minimum time that a request gets, however late it arrives.
        Duration minTime = std::chrono::milliseconds(5);
    };

    /// What is known about a request when it has been read.
    struct Request
    {
        SteadyTime readAt {};
        /// How long the caller waits, counted from when it sent the request.
        Duration timeLeft {};
        /// Timeout of the route, which is also the time that callers allow for their first attempt.
        Duration timeout {};
        /// Latency objective of the route.
        Duration objective {};
        bool isFirstOnConnection = false;
    };

    struct Deadlines
    {
        /// From this time on, an answer with the minimum coverage is sent at once.
        SteadyTime answerBy {};
        /// The request ends at this time, whatever replies have arrived.
        SteadyTime deadline {};
    };

    AnswerTiming();
    explicit AnswerTiming(const Settings &settings);

    /// Calculates when `request` is answered and when it ends.
    Deadlines deadlines(const Request &request) const;

private:
    Settings m_settings;
};

} // namespace pimentoward
