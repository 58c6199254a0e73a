#include "Pimentoward/Process/MetricsDistribution.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>
#include <utility>

namespace pimentoward {

namespace {

namespace acc = boost::accumulators;

using Window = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::extended_p_square>>;

constexpr std::array<double, 2> probabilities {0.5, 0.99};
constexpr std::size_t medianIndex = 0;
constexpr std::size_t percentile99Index = 1;
/// The number of markers of the P-square estimator. With fewer values its percentiles have no
/// meaning.
constexpr std::size_t minValuesForPercentiles = 2 * probabilities.size() + 3;

Window newWindow()
{
    return Window(acc::extended_p_square_probabilities = probabilities);
}

} // namespace

struct MetricsDistribution::State
{
    Window current = newWindow();
    /// The last completed window.
    std::optional<Window> last;
    std::uint64_t count = 0;
    double sum = 0;

    const Window &reportedWindow() const { return last ? *last : current; }

    std::optional<double> percentile(std::size_t index) const
    {
        if (acc::count(reportedWindow()) < minValuesForPercentiles) {
            return std::nullopt;
        }
        return acc::extended_p_square(reportedWindow())[static_cast<std::ptrdiff_t>(index)];
    }
};

MetricsDistribution::MetricsDistribution()
    : m_state(std::make_unique<State>())
{ }

MetricsDistribution::~MetricsDistribution() = default;
MetricsDistribution::MetricsDistribution(MetricsDistribution &&) noexcept = default;
MetricsDistribution &MetricsDistribution::operator=(MetricsDistribution &&) noexcept = default;

void MetricsDistribution::record(Duration value)
{
    const double seconds = std::chrono::duration<double>(value).count();
    m_state->current(seconds);
    ++m_state->count;
    m_state->sum += seconds;
}

void MetricsDistribution::rotate()
{
    m_state->last = std::exchange(m_state->current, newWindow());
}

std::uint64_t MetricsDistribution::count() const
{
    return m_state->count;
}

double MetricsDistribution::sum() const
{
    return m_state->sum;
}

std::optional<double> MetricsDistribution::mean() const
{
    const Window &window = m_state->reportedWindow();
    return acc::count(window) == 0 ? std::nullopt : std::optional(acc::mean(window));
}

std::optional<double> MetricsDistribution::median() const
{
    return m_state->percentile(medianIndex);
}

std::optional<double> MetricsDistribution::percentile99() const
{
    return m_state->percentile(percentile99Index);
}

} // namespace pimentoward
