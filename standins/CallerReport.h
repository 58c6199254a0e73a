#pragma once

#include "Pimentoward/Core/ResultCode.h"
#include "Pimentoward/Core/Types.h"
#include "standins/Histogram.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <string>
#include <vector>

namespace pimentoward::standins {

/// What a caller saw of one request.
struct LoadOutcome
{
    RequestId requestId;
    ResultCode code = ResultCode::Ok;
    /// Share of the queried key space that the answer states.
    double coverage = 0;
    IndexVersion version = 0;
    /// Body of the answer; kept only where it is asked for.
    std::string body;

    bool isWhole() const { return code == ResultCode::Ok && coverage >= 1; }
};

/// One request of a load with its times, both after the start of the load.
struct LoadSample
{
    Duration intended {};
    Duration sent {};
    Duration ended {};
    LoadOutcome outcome;

    /// Counted from the intended send time, so that waiting in the load tool counts as well.
    Duration latency() const { return ended - intended; }
};

/// Figures of one load: what pimento-load prints.
class CallerReport
{
public:
    explicit CallerReport(const std::vector<LoadSample> &samples);

    std::uint64_t count() const { return m_latency.count(); }
    std::uint64_t whole() const { return m_whole; }
    std::uint64_t errors() const;
    const Histogram &latency() const { return m_latency; }
    /// Mean coverage over all requests; a request without an answer counts as 0.
    double meanCoverage() const;
    nlohmann::json toJson() const;
    /// The heading and one line of the table.
    static std::string tableHeading();
    std::string tableRow(const std::string &title) const;

private:
    Histogram m_latency;
    std::uint64_t m_whole = 0;
    std::uint64_t m_lateSends = 0;
    double m_coverageSum = 0;
    double m_coverageMin = 1;
    std::map<int, std::uint64_t> m_codes;
};

} // namespace pimentoward::standins
