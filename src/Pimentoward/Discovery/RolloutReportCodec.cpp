#include "Pimentoward/Discovery/RolloutReportCodec.h"

#include "Pimentoward/Core/BoundedJson.h"

namespace pimentoward {

namespace {

/// Counts of one route are a list: good and bad replies of the target version, then of the other.
constexpr std::size_t countsPerRoute = 4;

bool isCounts(const nlohmann::json &counts)
{
    return counts.is_array() && counts.size() == countsPerRoute
        && std::all_of(counts.begin(), counts.end(), [](const nlohmann::json &count) {
               return count.is_number_unsigned() && count.get<std::uint64_t>() <= UINT32_MAX;
           });
}

} // namespace

std::string encodeRolloutReport(const RolloutReport &report)
{
    nlohmann::json routes = nlohmann::json::object();
    for (const auto &[route, counts] : report.counts) {
        routes[route]
            = {counts.target.good, counts.target.bad, counts.other.good, counts.other.bad};
    }
    return nlohmann::json {{"service", report.service},
                           {"target", report.targetVersion},
                           {"routes", std::move(routes)}}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<RolloutReport> decodeRolloutReport(const std::string &text, Reason &reason)
{
    const nlohmann::json json = parseJson(text);
    const bool isValid = json.is_object() && json.contains("service") && json["service"].is_string()
        && json.contains("target") && json["target"].is_string() && json.contains("routes")
        && json["routes"].is_object();
    if (!isValid) {
        reason = {ResultCode::InvalidMessage,
                  "the report is not a JSON object with a service, a target and routes"};
        return std::nullopt;
    }
    RolloutReport report;
    report.service = json["service"].get<std::string>();
    report.targetVersion = json["target"].get<std::string>();
    for (const auto &[route, counts] : json["routes"].items()) {
        if (!isCounts(counts)) {
            reason = {ResultCode::InvalidMessage, "the counts of a route are not four numbers"};
            return std::nullopt;
        }
        report.counts[route] = {{counts[0], counts[1]}, {counts[2], counts[3]}};
    }
    return report;
}

} // namespace pimentoward
