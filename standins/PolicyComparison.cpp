#include "standins/PolicyComparison.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace pimentoward::standins {

namespace {

constexpr std::size_t policyCount = 2;
constexpr double p50 = 0.5;
constexpr double p90 = 0.9;
constexpr double p99 = 0.99;

PolicyComparison::Result::Spread spreadOf(std::vector<double> values)
{
    if (values.empty()) {
        return {};
    }
    std::sort(values.begin(), values.end());
    const std::size_t middle = values.size() / 2;
    const bool isOdd = values.size() % 2 == 1;
    const double median = isOdd ? values[middle] : (values[middle - 1] + values[middle]) / 2;
    return {median, values.front(), values.back()};
}

std::string spreadText(const PolicyComparison::Result::Spread &spread)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(2) << spread.median << " (" << spread.min << " to "
         << spread.max << ")";
    return text.str();
}

nlohmann::json spreadJson(const PolicyComparison::Result::Spread &spread)
{
    return {{"median", spread.median}, {"lowest", spread.min}, {"highest", spread.max}};
}

/// A value that is computed for each round, and its title in the table and in JSON.
struct Metric
{
    std::string title;
    std::function<double(const PolicyComparison::Round &)> value;
};

std::vector<Metric> metrics()
{
    using Round = PolicyComparison::Round;
    constexpr double percent = 100;
    return {
        {"p50Ms", [](const Round &round) { return PolicyComparison::quantileMs(round, p50); }},
        {"p90Ms", [](const Round &round) { return PolicyComparison::quantileMs(round, p90); }},
        {"p99Ms", [](const Round &round) { return PolicyComparison::quantileMs(round, p99); }},
        {"wholePercent",
         [](const Round &round) { return percent * PolicyComparison::completeShare(round); }},
        {"cpuMs",
         [](const Round &round) {
             return std::chrono::duration<double, std::milli>(round.cpuTime).count();
         }},
    };
}

} // namespace

double PolicyComparison::quantileMs(const Round &round, double quantile)
{
    const CallerReport report(round.samples);
    return std::chrono::duration<double, std::milli>(report.latency().quantile(quantile)).count();
}

double PolicyComparison::completeShare(const Round &round)
{
    const CallerReport report(round.samples);
    return report.count() == 0
        ? 0
        : static_cast<double>(report.completeAnswers()) / static_cast<double>(report.count());
}

PolicyComparison::Result PolicyComparison::run(event_base *loop,
                                               const std::vector<PlannedRequest> &plan,
                                               const Policy &a, const Policy &b, std::size_t rounds)
{
    const Policy *bothPolicies[policyCount] = {&a, &b};
    Result result;
    for (std::size_t round = 0; round <= rounds; ++round) {
        for (std::size_t policy = 0; policy < policyCount; ++policy) {
            const Policy &current = *bothPolicies[policy];
            result.names[policy] = current.name;
            current.prepare();
            const Duration before = current.cpuTime();
            Round measured;
            measured.samples = LoadRunner::run(loop, plan, current.send);
            measured.cpuTime = current.cpuTime() - before;
            // The first round is not counted, because it opens connections and fills caches.
            if (round > 0) {
                result.rounds[policy].push_back(std::move(measured));
            }
        }
    }
    return result;
}

Duration PolicyComparison::Result::latency(std::size_t policy, double quantile) const
{
    const auto metric = [quantile](const Round &round) { return quantileMs(round, quantile); };
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(spread(policy, metric).median));
}

PolicyComparison::Result::Spread
PolicyComparison::Result::spread(std::size_t policy,
                                 const std::function<double(const Round &)> &metric) const
{
    std::vector<double> values;
    for (const Round &round : rounds[policy]) {
        values.push_back(metric(round));
    }
    return spreadOf(std::move(values));
}

PolicyComparison::Result::Spread
PolicyComparison::Result::ratio(const std::function<double(const Round &)> &metric) const
{
    std::vector<double> values;
    for (std::size_t index = 0; index < rounds[0].size(); ++index) {
        const double divisor = metric(rounds[1][index]);
        values.push_back(divisor == 0 ? 0 : metric(rounds[0][index]) / divisor);
    }
    return spreadOf(std::move(values));
}

nlohmann::json PolicyComparison::Result::toJson() const
{
    nlohmann::json json;
    json["rounds"] = rounds[0].size();
    for (const Metric &metric : metrics()) {
        for (std::size_t policy = 0; policy < policyCount; ++policy) {
            json[names[policy]][metric.title] = spreadJson(spread(policy, metric.value));
        }
        json["ratio"][metric.title] = spreadJson(ratio(metric.value));
    }
    return json;
}

std::string PolicyComparison::Result::table() const
{
    constexpr int titleWidth = 14;
    constexpr int valueWidth = 28;
    std::ostringstream text;
    text << std::left << std::setw(titleWidth) << "" << std::setw(valueWidth) << names[0]
         << std::setw(valueWidth) << names[1] << names[0] << " / " << names[1] << '\n';
    for (const Metric &metric : metrics()) {
        text << std::setw(titleWidth) << metric.title << std::setw(valueWidth)
             << spreadText(spread(0, metric.value)) << std::setw(valueWidth)
             << spreadText(spread(1, metric.value)) << spreadText(ratio(metric.value)) << '\n';
    }
    return text.str();
}

std::string PolicyComparison::Result::plotData() const
{
    std::ostringstream text;
    text << "# round";
    for (const std::string &name : names) {
        text << ' ' << name << "-p50 " << name << "-p90 " << name << "-p99";
    }
    text << '\n';
    for (std::size_t index = 0; index < rounds[0].size(); ++index) {
        text << index + 1;
        for (const auto &policy : rounds) {
            for (const double quantile : {p50, p90, p99}) {
                text << ' ' << quantileMs(policy[index], quantile);
            }
        }
        text << '\n';
    }
    return text.str();
}

} // namespace pimentoward::standins
