#pragma once

#include "standins/CallerReport.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace pimentoward::standins {

/// Checks answers against the runs that the stand-in backend servers recorded. It uses nothing that
/// the tier reports about its own work.
class RunRecordsChecker
{
public:
    /// Counts of violations, which are all zero if the check passes, and the number of runs.
    struct Verdict
    {
        /// Runs that began while all slots of the backend server were in use.
        std::uint64_t aboveSlots = 0;
        /// Answers that state more coverage than the backend servers finished for them at the
        /// stated index version. An answer that mixes two versions is counted here.
        std::uint64_t falseCoverage = 0;
        /// Answers with a "not run" code although a backend server ran a part of the request.
        std::uint64_t falseNotRun = 0;
        std::uint64_t runs = 0;

        bool isGood() const { return aboveSlots == 0 && falseCoverage == 0 && falseNotRun == 0; }
    };

    /// Adds the runs of one backend server, as its GET /records returns them.
    void addBackend(const std::string &recordsJson);
    /// Checks the answers to searches. `samples` must hold only searches, each over `shards` shards
    /// of equal size.
    Verdict check(const std::vector<LoadSample> &samples, std::size_t shards) const;

    static nlohmann::json toJson(const Verdict &verdict);

private:
    /// Shards whose subrequest of one caller request finished, by index version.
    using FinishedShards = std::map<IndexVersion, std::set<ShardName>>;

    std::map<RequestId, FinishedShards> m_requests;
    std::uint64_t m_aboveSlots = 0;
    std::uint64_t m_runs = 0;
};

} // namespace pimentoward::standins
