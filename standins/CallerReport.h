#pragma once

#include "Pimentoward/Core/ResultCode.h"
#include "Pimentoward/Core/Types.h"
#include "standins/Histogram.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <string>
#include <vector>

namespace pimentoward::standins {

/// Result of one request as the caller received it.
struct LoadOutcome
{
    RequestId requestId;
    ResultCode code = ResultCode::Ok;
    /// Coverage that the answer states: a share of the queried key space, from 0 to 1.
    double coverage = 0;
    IndexVersion version = 0;
    /// Body of the answer. Empty unless the sender was told to keep it.
    std::string body;

    /// True if the request succeeded with full coverage.
    bool isComplete() const { return code == ResultCode::Ok && coverage >= 1; }
};

/// One request of a load with its result. All times are counted from the start of the load.
struct LoadSample
{
    Duration intended {};
    Duration sent {};
    Duration ended {};
    LoadOutcome outcome;

    /// Time from the intended send time to the end, so that a delay in the load tool is included.
    Duration latency() const { return ended - intended; }
};

/// Statistics of one load, as pimento-load prints them.
class CallerReport
{
public:
    explicit CallerReport(const std::vector<LoadSample> &samples);

    std::uint64_t count() const { return m_latency.count(); }
    /// Requests that succeeded with full coverage.
    std::uint64_t completeAnswers() const { return m_completeAnswers; }
    /// Requests that ended neither with a full nor with a partial answer.
    std::uint64_t errors() const;
    const Histogram &latency() const { return m_latency; }
    /// Mean coverage over all requests. A request without an answer counts as 0.
    double meanCoverage() const;
    nlohmann::json toJson() const;
    /// Heading of the table whose rows tableRow() returns.
    static std::string tableHeading();
    /// The statistics of this load as one row of the table.
    std::string tableRow(const std::string &title) const;

private:
    Histogram m_latency;
    std::uint64_t m_completeAnswers = 0;
    std::uint64_t m_lateSends = 0;
    double m_coverageSum = 0;
    double m_coverageMin = 1;
    std::map<int, std::uint64_t> m_codes;
};

} // namespace pimentoward::standins
