#include "standins/SiteChecker.h"

#include "platform/WireNames.h"

#include <algorithm>
#include <set>

namespace pimentoward::standins {

namespace {

constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;
/// These values have to match the settings of Site and ShardServer.
constexpr std::size_t topRecords = 8;
constexpr std::size_t recordsPerPart = 4;
constexpr std::size_t maxAttempts = 2;

bool isPath(const SiteCaller::Outcome &outcome, const char *prefix)
{
    return outcome.request.path.rfind(prefix, 0) == 0;
}

/// Returns the signatures of the parts from which an answer was merged.
std::vector<std::string> partSignatures(const SiteCaller::Outcome &outcome)
{
    const std::string text(
        outcome.reply.headers.value(platform::wire::headerNames().partSignatures));
    std::vector<std::string> parts;
    for (std::size_t start = 0; start < text.size();) {
        const std::size_t end = std::min(text.find(", ", start), text.size());
        parts.push_back(text.substr(start, end - start));
        start = end + 2;
    }
    return parts;
}

/// Returns whether a signature was made for the request `id`.
bool isSignatureOf(const std::string &signature, const RequestId &id)
{
    return signature.find("." + id + ".") != std::string::npos;
}

/// Returns the greatest records of the parts of `services`, in descending order.
std::string expectedBody(const std::set<std::string> &services, const RequestId &id)
{
    std::vector<std::string> records;
    for (const std::string &service : services) {
        for (std::size_t index = 0; index < recordsPerPart; ++index) {
            records.push_back(ShardServer::record(service, id, index));
        }
    }
    std::sort(records.rbegin(), records.rend());
    std::string body;
    for (std::size_t index = 0; index < std::min(topRecords, records.size()); ++index) {
        body += records[index];
    }
    return body;
}

/// Number of times that the backend servers of each service began each request.
using Runs = std::map<RequestId, std::map<std::string, std::size_t>>;

} // namespace

SiteChecker::SiteChecker(std::size_t shards, double minCoverage)
    : m_shards(shards)
    , m_minCoverage(minCoverage)
{ }

std::string SiteChecker::validateFanOut(const SiteCaller::Outcome &outcome) const
{
    const std::vector<std::string> parts = partSignatures(outcome);
    std::set<std::string> services;
    for (const std::string &signature : parts) {
        if (!isSignatureOf(signature, outcome.requestId)) {
            return "a part belongs to another request";
        }
        services.insert(signature.substr(0, signature.find('-')));
    }
    const std::string missing(
        outcome.reply.headers.value(platform::wire::headerNames().missingParts));
    if (missing.empty() || services.size() != parts.size()
        || parts.size() + std::stoul(missing) != m_shards) {
        return "the stated coverage does not match the parts";
    }
    if (static_cast<double>(parts.size()) < m_minCoverage * static_cast<double>(m_shards)) {
        return "the coverage is below the minimum";
    }
    return outcome.reply.body == expectedBody(services, outcome.requestId)
        ? ""
        : "the records do not match the parts";
}

std::string SiteChecker::validateSuccess(const SiteCaller::Outcome &outcome) const
{
    if (isPath(outcome, "/all/")) {
        return validateFanOut(outcome);
    }
    const std::string signature(
        outcome.reply.headers.value(platform::wire::headerNames().signature));
    if (!isSignatureOf(signature, outcome.requestId)) {
        return "the answer belongs to another request";
    }
    std::string expected;
    for (std::size_t index = 0; index < recordsPerPart; ++index) {
        expected += ShardServer::record(Site::singleService, outcome.requestId, index);
    }
    return outcome.reply.body == expected ? "" : "the body is not that of the reply";
}

std::vector<std::string> SiteChecker::violations(const std::list<SiteCaller::Outcome> &outcomes,
                                                 const std::vector<ShardServer *> &servers) const
{
    std::vector<std::string> found;
    std::map<RequestId, const SiteCaller::Outcome *> outcomesById;
    for (const SiteCaller::Outcome &outcome : outcomes) {
        outcomesById[outcome.requestId] = &outcome;
        if (const std::string error = outcome.status == statusOk ? validateSuccess(outcome) : "";
            !error.empty()) {
            found.push_back("MIXED " + outcome.requestId + ": " + error);
        }
    }
    Runs runs;
    for (const ShardServer *server : servers) {
        const std::string &service = server->settings().service;
        for (const ShardServer::Run &run : server->runs()) {
            ++runs[run.requestId][service];
            const auto sent = outcomesById.find(run.requestId);
            if (sent == outcomesById.end()) {
                found.push_back("UNASKED " + run.requestId);
                continue;
            }
            const SiteCaller::Request &request = sent->second->request;
            if (run.method != request.method || run.target != request.path
                || run.body != request.body) {
                found.push_back("UNASKED " + run.requestId
                                + ": differs from the request that its caller sent");
            }
            if (run.timeLeft > request.timeLeft) {
                found.push_back("BUDGET " + run.requestId
                                + ": forwarded with more time than its caller allowed");
            }
            const bool isFanout = isPath(*sent->second, "/all/");
            if (isFanout == (service == Site::singleService)) {
                found.push_back("ROUTE " + run.requestId + ": run by " + service);
            }
        }
    }
    for (const auto &[id, services] : runs) {
        const auto sent = outcomesById.find(id);
        const bool isNonIdempotent = sent != outcomesById.end() && isPath(*sent->second, "/once/");
        for (const auto &[service, count] : services) {
            if (count > (isNonIdempotent ? 1 : maxAttempts)) {
                std::string line = isNonIdempotent ? "TWICE " : "BUDGET ";
                line += id;
                line += ": run " + std::to_string(count) + " times by ";
                line += service;
                found.push_back(std::move(line));
            }
        }
        if (isNonIdempotent && sent->second->status == statusUnavailable) {
            found.push_back("REFUSED " + id + ": answered as not run, but it was run");
        }
    }
    return found;
}

} // namespace pimentoward::standins
