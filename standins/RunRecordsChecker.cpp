#include "standins/RunRecordsChecker.h"

#include <nlohmann/json.hpp>

namespace pimentoward::standins {

void RunRecordsChecker::addBackend(const std::string &recordsJson)
{
    const auto root = nlohmann::json::parse(recordsJson);
    const int slots = root.at("slots").get<int>();
    for (const auto &run : root.at("runs")) {
        ++m_runs;
        m_aboveSlots += run.at("concurrent").get<int>() > slots ? 1 : 0;
        const auto subrequestId = run.at("requestId").get<std::string>();
        auto &finished = m_requests[subrequestId.substr(0, subrequestId.rfind('/'))];
        if (run.at("finished").get<bool>()) {
            finished[run.at("version").get<IndexVersion>()].insert(
                run.at("shard").get<std::string>());
        }
    }
}

RunRecordsChecker::Verdict RunRecordsChecker::check(const std::vector<LoadSample> &samples,
                                                    std::size_t shards) const
{
    constexpr double roundingTolerance = 1e-6;
    Verdict verdict;
    verdict.aboveSlots = m_aboveSlots;
    verdict.runs = m_runs;
    for (const LoadSample &sample : samples) {
        const auto found = m_requests.find(sample.outcome.requestId);
        std::size_t finished = 0;
        if (found != m_requests.end()) {
            const auto version = found->second.find(sample.outcome.version);
            finished = version == found->second.end() ? 0 : version->second.size();
        }
        const double finishedShare = static_cast<double>(finished) / static_cast<double>(shards);
        verdict.falseCoverage
            += sample.outcome.coverage > finishedShare + roundingTolerance ? 1 : 0;
        verdict.falseNotRun
            += promisesNotRun(sample.outcome.code) && found != m_requests.end() ? 1 : 0;
    }
    return verdict;
}

nlohmann::json RunRecordsChecker::toJson(const Verdict &verdict)
{
    return {{"good", verdict.isGood()},
            {"runs", verdict.runs},
            {"aboveSlots", verdict.aboveSlots},
            {"falseCoverage", verdict.falseCoverage},
            {"falseNotRun", verdict.falseNotRun}};
}

} // namespace pimentoward::standins
