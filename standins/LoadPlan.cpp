#include "standins/LoadPlan.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <random>
#include <sstream>

namespace pimentoward::standins {

namespace {

using Json = nlohmann::json;

/// Number of records with the same key. It has to match the value in RecordSet.cpp.
constexpr std::size_t recordsPerKey = 4;

/// Names that requests for one kind of records use: the prefix of record keys, and the searched
/// field with its number of values.
struct RecordNames
{
    std::string keyPrefix;
    std::string field;
    std::size_t fieldValues;
};

RecordNames namesOf(const std::string &recordKind)
{
    constexpr std::size_t pools = 40;
    constexpr std::size_t depots = 30;
    return recordKind == "badges" ? RecordNames {"child-", "pool", pools}
                                  : RecordNames {"model-", "depot", depots};
}

std::string numbered(const std::string &prefix, std::size_t number)
{
    constexpr int digits = 6;
    std::ostringstream text;
    text << prefix << std::setw(digits) << std::setfill('0') << number;
    return text.str();
}

/// Returns a random number in (0, 1]. The standard distributions are not used, because their
/// results differ between standard libraries.
double uniform(std::mt19937 &random)
{
    constexpr double range = 4294967296.0;
    return (static_cast<double>(random()) + 1.0) / range;
}

PlannedRequest makeRequest(const LoadPlan::Settings &settings, std::mt19937 &random)
{
    const RecordNames names = namesOf(settings.recordKind);
    PlannedRequest request;
    request.service = settings.service;
    request.deadline = settings.deadline;
    request.isSearch = uniform(random) <= settings.searchShare;
    request.requestClass = uniform(random) <= settings.eveningShare ? RequestClass::Evening
                                                                    : RequestClass::Interactive;
    Json body;
    if (request.isSearch) {
        body["field"] = names.field;
        body["value"] = numbered(names.field + "-", random() % names.fieldValues);
    } else {
        const std::size_t keys = std::max<std::size_t>(1, settings.records / recordsPerKey);
        request.lookupKey = numbered(names.keyPrefix, random() % keys);
        body["key"] = request.lookupKey;
    }
    request.backendBody = body.dump();
    body["service"] = settings.service;
    body["class"] = requestClassName(request.requestClass);
    body["deadlineMs"] = settings.deadline.count();
    request.callerBody = body.dump();
    return request;
}

void addService(const LoadPlan::Settings &settings, std::vector<PlannedRequest> &plan)
{
    std::mt19937 random(settings.seed);
    const double gapSeconds = 1.0 / settings.rate;
    const double lengthSeconds = std::chrono::duration<double>(settings.length).count();
    double at = 0;
    while (true) {
        at += settings.isPoisson ? -std::log(uniform(random)) * gapSeconds : gapSeconds;
        if (at > lengthSeconds) {
            return;
        }
        PlannedRequest request = makeRequest(settings, random);
        request.at = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at));
        plan.push_back(std::move(request));
    }
}

} // namespace

std::vector<PlannedRequest> LoadPlan::make(const std::vector<Settings> &services)
{
    std::vector<PlannedRequest> plan;
    for (const Settings &service : services) {
        addService(service, plan);
    }
    std::stable_sort(plan.begin(), plan.end(),
                     [](const auto &a, const auto &b) { return a.at < b.at; });
    return plan;
}

} // namespace pimentoward::standins
