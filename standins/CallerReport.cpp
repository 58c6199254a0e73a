#include "standins/CallerReport.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace pimentoward::standins {

namespace {

/// A send counts as late if its delay after the intended time is longer than this.
constexpr std::chrono::milliseconds lateSendThreshold {2};
constexpr double p50 = 0.5;
constexpr double p90 = 0.9;
constexpr double p99 = 0.99;
constexpr double p999 = 0.999;

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

CallerReport::CallerReport(const std::vector<LoadSample> &samples)
{
    for (const LoadSample &sample : samples) {
        m_latency.record(sample.latency());
        m_completeAnswers += sample.outcome.isComplete() ? 1 : 0;
        m_lateSends += sample.sent - sample.intended > lateSendThreshold ? 1 : 0;
        m_coverageSum += sample.outcome.coverage;
        m_coverageMin = std::min(m_coverageMin, sample.outcome.coverage);
        ++m_codes[static_cast<int>(sample.outcome.code)];
    }
}

std::uint64_t CallerReport::errors() const
{
    std::uint64_t answered = 0;
    for (const auto &[code, count] : m_codes) {
        const bool isAnswer = code == static_cast<int>(ResultCode::Ok)
            || code == static_cast<int>(ResultCode::PartialCoverage);
        answered += isAnswer ? count : 0;
    }
    return count() - answered;
}

double CallerReport::meanCoverage() const
{
    return count() == 0 ? 0 : m_coverageSum / static_cast<double>(count());
}

nlohmann::json CallerReport::toJson() const
{
    nlohmann::json codes = nlohmann::json::object();
    for (const auto &[code, number] : m_codes) {
        codes[std::to_string(code)] = number;
    }
    return {{"count", count()},
            {"whole", m_completeAnswers},
            {"errors", errors()},
            {"coverageMean", meanCoverage()},
            {"coverageMin", m_coverageMin},
            {"codes", codes},
            {"p50Ms", milliseconds(m_latency.quantile(p50))},
            {"p90Ms", milliseconds(m_latency.quantile(p90))},
            {"p99Ms", milliseconds(m_latency.quantile(p99))},
            {"p999Ms", milliseconds(m_latency.quantile(p999))},
            {"maxMs", milliseconds(m_latency.max())},
            {"lateSends", m_lateSends}};
}

std::string CallerReport::tableHeading()
{
    return "run            count   whole  errors coverage  p50 ms  p90 ms  p99 ms p99.9 ms  max ms "
           " late\n";
}

std::string CallerReport::tableRow(const std::string &title) const
{
    std::ostringstream line;
    line << std::left << std::setw(13) << title << std::right << std::fixed;
    line << std::setw(7) << count() << std::setw(8) << m_completeAnswers << std::setw(8)
         << errors();
    line << std::setw(9) << std::setprecision(4) << meanCoverage() << std::setprecision(2);
    for (const double share : {p50, p90, p99, p999}) {
        line << std::setw(8) << milliseconds(m_latency.quantile(share));
    }
    line << std::setw(9) << milliseconds(m_latency.max()) << std::setw(6) << m_lateSends << '\n';
    return line.str();
}

} // namespace pimentoward::standins
