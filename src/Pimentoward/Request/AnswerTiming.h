#pragma once

#include "Pimentoward/Core/Types.h"

namespace pimentoward {

/// Decides when a request is answered with what has come in. Does no input or output.
///
/// Load pattern: a fan-out meets a pausing backend server in about every second query. An answer
/// within the objective is worth the square of its coverage, a late one next to nothing; so the
/// best moment is just before the objective, as the caller's clock shows it.
class AnswerTiming
{
public:
    struct Settings
    {
        /// Time for an answer's way back to the caller.
        Duration answerTransitTime = std::chrono::milliseconds(10);
        /// Time from the caller's sending until the request is read.
        Duration requestTransitTime = std::chrono::milliseconds(4);
        /// The same with the opening of a connection before it.
        Duration requestTransitTimeWithConnect = std::chrono::milliseconds(12);
        /// A request that nobody can answer whole any more is given up this long before the
        /// caller leaves.
        Duration giveUpMargin = std::chrono::milliseconds(15);
        /// A caller that asks again with less than this share of the objective left gets the whole
        /// objective anew: its first try was refused, or is late already.
        double minObjectiveShare = 0.4;
        /// Off in tests only: a request goes on until its caller leaves.
        bool endsAtTimeout = true;
        /// Shortest time that a request gets, however late it comes.
        Duration minTime = std::chrono::milliseconds(5);
    };

    /// What is known of a request when it has been read.
    struct Request
    {
        SteadyTime readAt {};
        /// Time that the caller still waits, from its sending.
        Duration timeLeft {};
        /// The route's own bound, and what callers give at their first attempt.
        Duration timeout {};
        Duration objective {};
        bool isFirstOnConnection = false;
    };

    struct Deadlines
    {
        /// From here on an answer that covers enough leaves at once.
        SteadyTime answerBy {};
        /// Here the request ends, whatever has come.
        SteadyTime deadline {};
    };

    AnswerTiming();
    explicit AnswerTiming(const Settings &settings);

    Deadlines deadlines(const Request &request) const;

private:
    Settings m_settings;
};

} // namespace pimentoward
