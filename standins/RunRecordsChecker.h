#pragma once

#include "standins/CallerReport.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace pimentoward::standins {

/// Checks answers against what the stand-in backend servers recorded, never against what the tier
/// says of itself.
class RunRecordsChecker
{
public:
    /// Counts of broken promises; all zero is a pass.
    struct Verdict
    {
        /// Runs that began while more ran in the backend server than it has slots.
        std::uint64_t aboveSlots = 0;
        /// Answers that state more coverage than the backend servers finished for them at the
        /// stated index version; an answer from two versions is one of these.
        std::uint64_t falseCoverage = 0;
        /// Refusals that say "not run" although a backend server ran part of the request.
        std::uint64_t falseNotRun = 0;
        std::uint64_t runs = 0;

        bool isGood() const { return aboveSlots == 0 && falseCoverage == 0 && falseNotRun == 0; }
    };

    /// Takes one backend server's GET /records text.
    void addBackend(const std::string &recordsJson);
    /// `shards`: equal shards that a search covers. `samples`: searches only.
    Verdict check(const std::vector<LoadSample> &samples, std::size_t shards) const;

    static nlohmann::json toJson(const Verdict &verdict);

private:
    /// Shards that finished for one caller request, by index version.
    using FinishedShards = std::map<IndexVersion, std::set<ShardName>>;

    std::map<RequestId, FinishedShards> m_requests;
    std::uint64_t m_aboveSlots = 0;
    std::uint64_t m_runs = 0;
};

} // namespace pimentoward::standins
