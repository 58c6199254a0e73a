#include "Pimentoward/Connection/ColdStart.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace pimentoward {

namespace {

/// Weight of one success in the mean service time of late.
constexpr double recentWeight = 0.1;
/// Weight of one success in the normal service time: slow, so that a cold start stands out.
constexpr double normalWeight = 0.01;
/// Share of the cold factor that makes a success of a warming server slow.
constexpr double warmingShare = 0.6;
/// A speed is even where the slowest quarter's median is at most this multiple of the fastest's.
constexpr double evenFactor = 1.6;

Duration mixed(Duration before, Duration sample, double weight)
{
    return before + scaled(sample - before, weight);
}

using Samples = std::vector<Duration>;

Samples::iterator middleOf(Samples &samples)
{
    return samples.begin() + static_cast<Samples::difference_type>(samples.size() / 2);
}

Duration median(Samples samples)
{
    std::nth_element(samples.begin(), middleOf(samples), samples.end());
    return *middleOf(samples);
}

/// The least and the greatest median of the four quarters.
std::pair<Duration, Duration> quarterMedians(const Samples &samples)
{
    constexpr Samples::difference_type quarters = 4;
    const auto length = static_cast<Samples::difference_type>(samples.size()) / quarters;
    Samples medians;
    for (Samples::difference_type quarter = 0; quarter < quarters; ++quarter) {
        const auto begin = samples.begin() + quarter * length;
        medians.push_back(median(Samples(begin, begin + length)));
    }
    const auto [least, greatest] = std::minmax_element(medians.begin(), medians.end());
    return {*least, *greatest};
}

} // namespace

ColdStart::ColdStart(const Settings &settings)
    : m_settings(settings)
{
    becomeCold();
}

void ColdStart::updateSettings(const Settings &settings)
{
    // More slots than before are new ground: the limit rises to them step by step.
    if (m_phase == Phase::Warm && settings.slots > m_warmLimit) {
        m_phase = Phase::Warming;
    }
    m_settings = settings;
    m_warmLimit = std::min(m_warmLimit, settings.slots);
}

void ColdStart::onSuccess(Duration serviceTime, std::uint64_t generation)
{
    m_recent
        = m_recent == Duration::zero() ? serviceTime : mixed(m_recent, serviceTime, recentWeight);
    // Work that was dispatched before the present cold start tells nothing about it.
    if (generation != m_generation) {
        return;
    }
    if (isSlow(serviceTime)) {
        onSlow();
    } else {
        m_slow = 0;
    }
    if (m_phase == Phase::Warm) {
        const Duration most = scaled(*m_normal, m_settings.coldFactor);
        m_normal = mixed(*m_normal, std::min(serviceTime, most), normalWeight);
        return;
    }
    collect(serviceTime);
}

void ColdStart::onStopped(Duration serviceTime, std::uint64_t generation)
{
    if (generation == m_generation && isSlow(serviceTime)) {
        onSlow();
    }
}

void ColdStart::onTrouble()
{
    becomeCold();
}

void ColdStart::onIncarnation(Incarnation incarnation)
{
    if (incarnation == 0 || incarnation == m_incarnation) {
        return;
    }
    m_incarnation = incarnation;
    onColdForSure();
}

void ColdStart::onRefused()
{
    onColdForSure();
}

void ColdStart::onColdForSure()
{
    becomeCold();
    m_heldSuccesses = m_settings.holdsBySuccesses ? m_settings.firstSamples : 0;
}

int ColdStart::limit() const
{
    if (!m_settings.isGuarding) {
        return m_settings.slots;
    }
    const int cold = std::min(m_settings.coldLimit, m_settings.slots);
    if (m_phase == Phase::Cold) {
        return cold;
    }
    // Each slow success in a row takes one slot back, before three of them prove a cold start.
    return std::max(cold, m_warmLimit - m_slow);
}

bool ColdStart::isSlow(Duration serviceTime) const
{
    // While it is warming, sooner: too little is known of it to wait for clearer signs.
    const double factor = m_settings.coldFactor * (m_phase == Phase::Warming ? warmingShare : 1);
    return m_normal && serviceTime > scaled(*m_normal, factor);
}

void ColdStart::onSlow()
{
    ++m_slow;
    // A server that has just been cold needs less proof of being cold again.
    const int enough = m_phase == Phase::Warm ? m_settings.slowInRow : m_settings.slowInRow - 1;
    if (m_phase != Phase::Cold && m_slow >= enough) {
        becomeCold();
    }
}

void ColdStart::collect(Duration serviceTime)
{
    m_learning.push_back(serviceTime);
    if (m_phase == Phase::Cold && learnNormal()) {
        m_step.clear();
        m_heldSuccesses = 0;
        return;
    }
    if (m_heldSuccesses > 0) {
        --m_heldSuccesses;
        return;
    }
    if (!m_normal) {
        return;
    }
    m_step.push_back(serviceTime);
    if (m_step.size() >= static_cast<std::size_t>(m_settings.samplesPerStep)) {
        stepUpIfNormal();
    }
}

void ColdStart::stepUpIfNormal()
{
    const Duration most = scaled(*m_normal, m_settings.normalFactor);
    // The later half counts on its own too: the server may have turned cold within the step.
    const Duration later = median(Samples(middleOf(m_step), m_step.end()));
    const Duration speed = std::max(median(m_step), later);
    m_step.clear();
    if (m_phase == Phase::Warming && speed > scaled(most, m_settings.normalFactor)) {
        becomeCold();
    }
    if (speed > most) {
        return;
    }
    const int cold = std::min(m_settings.coldLimit, m_settings.slots);
    m_warmLimit = std::min(m_settings.slots, std::max(cold, m_warmLimit) + 1);
    m_phase = m_warmLimit == m_settings.slots ? Phase::Warm : Phase::Warming;
}

bool ColdStart::learnNormal()
{
    const int needed = m_normal ? m_settings.relearnSamples : m_settings.firstSamples;
    if (m_learning.size() < static_cast<std::size_t>(needed)) {
        return false;
    }
    const auto [fastest, slowest] = quarterMedians(m_learning);
    if (!m_normal) {
        m_fastest = m_fastest ? std::min(*m_fastest, fastest) : fastest;
    }
    // Even at a speed below one seen before is a second cold start within the first.
    const Duration reference = m_normal ? fastest : *m_fastest;
    if (slowest > scaled(reference, evenFactor)) {
        // While its speed still changes, only the later half is kept, and as many again are due.
        m_learning.erase(m_learning.begin(), middleOf(m_learning));
        return false;
    }
    const Duration most = scaled(slowest, m_settings.coldFactor);
    for (Duration &sample : m_learning) {
        sample = std::min(sample, most);
    }
    m_normal = std::accumulate(m_learning.begin(), m_learning.end(), Duration::zero())
        / static_cast<Duration::rep>(m_learning.size());
    m_learning.clear();
    return true;
}

void ColdStart::becomeCold()
{
    m_phase = Phase::Cold;
    m_warmLimit = std::min(m_settings.coldLimit, m_settings.slots);
    m_slow = 0;
    ++m_generation;
    m_step.clear();
    m_learning.clear();
}

} // namespace pimentoward
