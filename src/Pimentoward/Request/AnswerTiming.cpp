#include "Pimentoward/Request/AnswerTiming.h"

#include <algorithm>

namespace pimentoward {

AnswerTiming::AnswerTiming()
    : AnswerTiming(Settings())
{ }

AnswerTiming::AnswerTiming(const Settings &settings)
    : m_settings(settings)
{ }

AnswerTiming::Deadlines AnswerTiming::deadlines(const Request &request) const
{
    const Duration requestTransit = request.isFirstOnConnection
        ? m_settings.requestTransitTimeWithConnect
        : m_settings.requestTransitTime;
    // A caller's retry has less time left than the route's timeout. The caller spent the difference
    // on earlier attempts.
    const Duration elapsedBefore = std::max(Duration::zero(), request.timeout - request.timeLeft);
    const Duration maxTime = m_settings.endsAtTimeout ? request.timeout : Duration::max();
    const Duration total = std::min(request.timeLeft - requestTransit, maxTime);
    Deadlines deadlines;
    deadlines.deadline
        = request.readAt + std::max(total - m_settings.giveUpMargin, m_settings.minTime);
    const Duration fullObjective
        = request.objective - requestTransit - m_settings.answerTransitTime;
    const Duration minObjective = scaled(fullObjective, m_settings.minObjectiveShare);
    const bool isLateRetry = fullObjective - elapsedBefore < minObjective;
    const Duration objectiveLeft = isLateRetry ? fullObjective : fullObjective - elapsedBefore;
    deadlines.answerBy = std::min(request.readAt + std::max(objectiveLeft, m_settings.minTime),
                                  deadlines.deadline);
    return deadlines;
}

} // namespace pimentoward
