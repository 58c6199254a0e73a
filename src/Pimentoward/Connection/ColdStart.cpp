#include "Pimentoward/Connection/ColdStart.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace pimentoward {

namespace {

/// Weight of one success in the mean of recent service times.
constexpr double recentWeight = 0.1;
/// Weight of one success in the normal service time. It is small, so that the normal service time
/// hardly changes before a cold start is noticed and the slow replies stand out.
constexpr double normalWeight = 0.01;
/// While the server is warming, the cold factor is multiplied by this to decide whether a
/// subrequest is slow.
constexpr double warmingFactorShare = 0.6;
/// The samples are divided into four quarters. Service times are steady if the largest of the
/// medians of the quarters is at most this multiple of the smallest.
constexpr double steadyFactor = 1.6;

Duration weightedMean(Duration mean, Duration sample, double weight)
{
    return mean + scaled(sample - mean, weight);
}

using Samples = std::vector<Duration>;

Samples::iterator middle(Samples &samples)
{
    return samples.begin() + static_cast<Samples::difference_type>(samples.size() / 2);
}

Duration median(Samples samples)
{
    std::nth_element(samples.begin(), middle(samples), samples.end());
    return *middle(samples);
}

/// Returns the smallest and the largest of the medians of the four quarters of `samples`.
std::pair<Duration, Duration> quarterMedians(const Samples &samples)
{
    constexpr Samples::difference_type quarters = 4;
    const auto length = static_cast<Samples::difference_type>(samples.size()) / quarters;
    Samples medians;
    for (Samples::difference_type quarter = 0; quarter < quarters; ++quarter) {
        const auto begin = samples.begin() + quarter * length;
        medians.push_back(median(Samples(begin, begin + length)));
    }
    const auto [minMedian, maxMedian] = std::minmax_element(medians.begin(), medians.end());
    return {*minMedian, *maxMedian};
}

} // namespace

ColdStart::ColdStart(const Settings &settings)
    : m_settings(settings)
{
    becomeCold();
}

void ColdStart::updateSettings(const Settings &settings)
{
    // The server is not known to handle the added slots, so the limit rises to them step by step.
    if (m_phase == Phase::Warm && settings.slots > m_warmLimit) {
        m_phase = Phase::Warming;
    }
    m_settings = settings;
    m_warmLimit = std::min(m_warmLimit, settings.slots);
}

void ColdStart::onSuccess(Duration serviceTime, std::uint64_t generation)
{
    m_recentServiceTime = m_recentServiceTime == Duration::zero()
        ? serviceTime
        : weightedMean(m_recentServiceTime, serviceTime, recentWeight);
    // Work that was dispatched before the current cold start says nothing about it.
    if (generation != m_generation) {
        return;
    }
    if (isSlow(serviceTime)) {
        onSlow();
    } else {
        m_consecutiveSlow = 0;
    }
    if (m_phase == Phase::Warm) {
        const Duration maxSample = scaled(*m_normalServiceTime, m_settings.coldFactor);
        m_normalServiceTime
            = weightedMean(*m_normalServiceTime, std::min(serviceTime, maxSample), normalWeight);
        return;
    }
    addSample(serviceTime);
}

void ColdStart::onUnsuccessfulEnd(Duration serviceTime, std::uint64_t generation)
{
    if (generation == m_generation && isSlow(serviceTime)) {
        onSlow();
    }
}

void ColdStart::onCommunicationFailure()
{
    becomeCold();
}

void ColdStart::onIncarnation(Incarnation incarnation)
{
    if (incarnation == 0 || incarnation == m_incarnation) {
        return;
    }
    m_incarnation = incarnation;
    onConfirmedColdStart();
}

void ColdStart::onRefused()
{
    onConfirmedColdStart();
}

void ColdStart::onConfirmedColdStart()
{
    becomeCold();
    m_requiredSuccesses = m_settings.requiresColdSuccesses ? m_settings.initialSamples : 0;
}

int ColdStart::limit() const
{
    if (!m_settings.appliesColdLimit) {
        return m_settings.slots;
    }
    const int coldLimit = std::min(m_settings.coldLimit, m_settings.slots);
    if (m_phase == Phase::Cold) {
        return coldLimit;
    }
    // Each consecutive slow subrequest lowers the limit by one, before there are enough of them to
    // prove a cold start.
    return std::max(coldLimit, m_warmLimit - m_consecutiveSlow);
}

bool ColdStart::isSlow(Duration serviceTime) const
{
    // The threshold is lower during warm-up: too little is known of the server to wait for clearer
    // signs.
    const double factor
        = m_settings.coldFactor * (m_phase == Phase::Warming ? warmingFactorShare : 1);
    return m_normalServiceTime && serviceTime > scaled(*m_normalServiceTime, factor);
}

void ColdStart::onSlow()
{
    ++m_consecutiveSlow;
    // A warming server counts as cold again after one slow subrequest fewer than a warm one.
    const int slowLimit = m_phase == Phase::Warm ? m_settings.consecutiveSlowLimit
                                                 : m_settings.consecutiveSlowLimit - 1;
    if (m_phase != Phase::Cold && m_consecutiveSlow >= slowLimit) {
        becomeCold();
    }
}

void ColdStart::addSample(Duration serviceTime)
{
    m_learningSamples.push_back(serviceTime);
    if (m_phase == Phase::Cold && learnNormalServiceTime()) {
        m_stepSamples.clear();
        m_requiredSuccesses = 0;
        return;
    }
    if (m_requiredSuccesses > 0) {
        --m_requiredSuccesses;
        return;
    }
    if (!m_normalServiceTime) {
        return;
    }
    m_stepSamples.push_back(serviceTime);
    if (m_stepSamples.size() >= static_cast<std::size_t>(m_settings.samplesPerStep)) {
        stepUpIfNormal();
    }
}

void ColdStart::stepUpIfNormal()
{
    const Duration maxMedian = scaled(*m_normalServiceTime, m_settings.normalFactor);
    // The median of the later half must be normal too, because the server may have become cold
    // during the step.
    const Duration laterMedian = median(Samples(middle(m_stepSamples), m_stepSamples.end()));
    const Duration decidingMedian = std::max(median(m_stepSamples), laterMedian);
    m_stepSamples.clear();
    if (m_phase == Phase::Warming && decidingMedian > scaled(maxMedian, m_settings.normalFactor)) {
        becomeCold();
    }
    if (decidingMedian > maxMedian) {
        return;
    }
    const int coldLimit = std::min(m_settings.coldLimit, m_settings.slots);
    m_warmLimit = std::min(m_settings.slots, std::max(coldLimit, m_warmLimit) + 1);
    m_phase = m_warmLimit == m_settings.slots ? Phase::Warm : Phase::Warming;
}

bool ColdStart::learnNormalServiceTime()
{
    const int neededSamples
        = m_normalServiceTime ? m_settings.relearnSamples : m_settings.initialSamples;
    if (m_learningSamples.size() < static_cast<std::size_t>(neededSamples)) {
        return false;
    }
    const auto [minMedian, maxMedian] = quarterMedians(m_learningSamples);
    if (!m_normalServiceTime) {
        m_minQuarterMedian
            = m_minQuarterMedian ? std::min(*m_minQuarterMedian, minMedian) : minMedian;
    }
    // Until a normal service time is known, the reference is the smallest median seen so far.
    // Steady service times well above it mean that the server became cold again during its first
    // cold start.
    const Duration referenceMedian = m_normalServiceTime ? minMedian : *m_minQuarterMedian;
    if (maxMedian > scaled(referenceMedian, steadyFactor)) {
        // The service times are still changing, so only the later half of the samples is kept. As
        // many must be collected again before the next attempt.
        m_learningSamples.erase(m_learningSamples.begin(), middle(m_learningSamples));
        return false;
    }
    const Duration maxSample = scaled(maxMedian, m_settings.coldFactor);
    for (Duration &sample : m_learningSamples) {
        sample = std::min(sample, maxSample);
    }
    m_normalServiceTime
        = std::accumulate(m_learningSamples.begin(), m_learningSamples.end(), Duration::zero())
        / static_cast<Duration::rep>(m_learningSamples.size());
    m_learningSamples.clear();
    return true;
}

void ColdStart::becomeCold()
{
    m_phase = Phase::Cold;
    m_warmLimit = std::min(m_settings.coldLimit, m_settings.slots);
    m_consecutiveSlow = 0;
    ++m_generation;
    m_stepSamples.clear();
    m_learningSamples.clear();
}

} // namespace pimentoward
