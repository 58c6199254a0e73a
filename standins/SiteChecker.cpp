#include "standins/SiteChecker.h"

#include "platform/WireNames.h"

#include <algorithm>
#include <set>

namespace pimentoward::standins {

namespace {

constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;
constexpr std::size_t recordBytes = 16;
/// As the site's settings and its backend servers have them.
constexpr std::size_t topRecords = 8;
constexpr std::size_t recordsOfPart = 4;
constexpr std::size_t mostAttempts = 2;

bool isPath(const SiteCaller::Outcome &outcome, const char *prefix)
{
    return outcome.request.path.rfind(prefix, 0) == 0;
}

std::vector<std::string> partSignatures(const SiteCaller::Outcome &outcome)
{
    const std::string text(
        outcome.reply.headers.value(platform::wire::forwardHeaders().partSignatures));
    std::vector<std::string> parts;
    for (std::size_t start = 0; start < text.size();) {
        const std::size_t end = std::min(text.find(", ", start), text.size());
        parts.push_back(text.substr(start, end - start));
        start = end + 2;
    }
    return parts;
}

bool isOf(const std::string &signature, const RequestId &id)
{
    return signature.find("." + id + ".") != std::string::npos;
}

/// How often the backend servers of each service began each request.
using Runs = std::map<RequestId, std::map<std::string, std::size_t>>;

} // namespace

SiteChecker::SiteChecker(std::size_t shards, double leastCoverage)
    : m_shards(shards)
    , m_leastCoverage(leastCoverage)
{ }

std::string SiteChecker::wrongGathering(const SiteCaller::Outcome &outcome) const
{
    const std::vector<std::string> parts = partSignatures(outcome);
    std::set<std::string> services;
    for (const std::string &signature : parts) {
        if (!isOf(signature, outcome.requestId)) {
            return "a part of another request";
        }
        services.insert(signature.substr(0, signature.find('-')));
    }
    const std::string missing(
        outcome.reply.headers.value(platform::wire::forwardHeaders().missingParts));
    if (missing.empty() || services.size() != parts.size()
        || parts.size() + std::stoul(missing) != m_shards) {
        return "untrue coverage";
    }
    if (static_cast<double>(parts.size()) < m_leastCoverage * static_cast<double>(m_shards)) {
        return "too little coverage";
    }
    const std::size_t records = std::min(topRecords, recordsOfPart * parts.size());
    const std::string &body = outcome.reply.body;
    if (body.size() != records * recordBytes || body.find(outcome.requestId) == std::string::npos) {
        return "not the records of the parts";
    }
    return {};
}

std::string SiteChecker::validateSuccess(const SiteCaller::Outcome &outcome) const
{
    if (isPath(outcome, "/all/")) {
        return wrongGathering(outcome);
    }
    const std::string signature(
        outcome.reply.headers.value(platform::wire::forwardHeaders().signature));
    if (!isOf(signature, outcome.requestId)) {
        return "the answer to another request";
    }
    return outcome.reply.body.size() == recordsOfPart * recordBytes ? "" : "not the whole body";
}

std::vector<std::string> SiteChecker::violations(const std::list<SiteCaller::Outcome> &outcomes,
                                                 const std::vector<ShardServer *> &servers) const
{
    std::vector<std::string> found;
    std::map<RequestId, const SiteCaller::Outcome *> byId;
    for (const SiteCaller::Outcome &outcome : outcomes) {
        byId[outcome.requestId] = &outcome;
        if (const std::string wrong = outcome.status == statusOk ? validateSuccess(outcome) : "";
            !wrong.empty()) {
            found.push_back("MIXED " + outcome.requestId + ": " + wrong);
        }
    }
    Runs runs;
    for (const ShardServer *server : servers) {
        const std::string &service = server->settings().service;
        for (const ShardServer::Run &run : server->runs()) {
            ++runs[run.requestId][service];
            const auto sent = byId.find(run.requestId);
            if (sent == byId.end()) {
                found.push_back("UNASKED " + run.requestId);
                continue;
            }
            const SiteCaller::Request &request = sent->second->request;
            if (run.method != request.method || run.target != request.path
                || run.body != request.body) {
                found.push_back("UNASKED " + run.requestId + ": not as sent");
            }
            if (run.timeLeft > request.timeLeft) {
                found.push_back("BUDGET " + run.requestId + ": more time than its caller has");
            }
            const bool isFanout = isPath(*sent->second, "/all/");
            if (isFanout == (service == Site::singleService)) {
                found.push_back("ROUTE " + run.requestId + ": run by " + service);
            }
        }
    }
    for (const auto &[id, services] : runs) {
        const auto sent = byId.find(id);
        const bool isOnce = sent != byId.end() && isPath(*sent->second, "/once/");
        for (const auto &[service, count] : services) {
            if (count > (isOnce ? 1 : mostAttempts)) {
                std::string line = isOnce ? "TWICE " : "BUDGET ";
                line += id;
                line += ": run " + std::to_string(count) + " times by ";
                line += service;
                found.push_back(std::move(line));
            }
        }
        if (isOnce && sent->second->status == statusUnavailable) {
            found.push_back("REFUSED " + id + ": said not to have run");
        }
    }
    return found;
}

} // namespace pimentoward::standins
