#include "Pimentoward/Request/AnswerTiming.h"

#include <algorithm>

namespace pimentoward {

AnswerTiming::AnswerTiming()
    : AnswerTiming(Settings())
{ }

AnswerTiming::AnswerTiming(const Settings &settings)
    : m_settings(settings)
{ }

AnswerTiming::Moments AnswerTiming::moments(const Request &request) const
{
    const Duration onWay
        = request.isFirstOnConnection ? m_settings.wayHereWithOpening : m_settings.wayHere;
    // A caller that asks again has less time left than the route gives.
    const Duration before = std::max(Duration::zero(), request.timeout - request.timeLeft);
    const Duration longest = m_settings.endsAtTimeout ? request.timeout : Duration::max();
    const Duration total = std::min(request.timeLeft - onWay, longest);
    Moments moments;
    moments.deadline
        = request.readAt + std::max(total - m_settings.lastWordMargin, m_settings.shortest);
    const Duration whole = request.objective - onWay - m_settings.wayBack;
    const Duration worthwhile = scaled(whole, m_settings.askedAgainShare);
    const bool isAskedAgain = whole - before < worthwhile;
    const Duration objectiveLeft = isAskedAgain ? whole : whole - before;
    moments.answerBy
        = std::min(request.readAt + std::max(objectiveLeft, m_settings.shortest), moments.deadline);
    return moments;
}

} // namespace pimentoward
