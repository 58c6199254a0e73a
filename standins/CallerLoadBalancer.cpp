#include "standins/CallerLoadBalancer.h"

#include <nlohmann/json.hpp>

#include <cassert>

namespace pimentoward::standins {

namespace {

constexpr int statusOk = 200;

} // namespace

CallerLoadBalancer::CallerLoadBalancer(event_base *loop, const std::vector<Address> &vms,
                                       const Settings &settings)
    : m_settings(settings)
    , m_probeTimer(loop, [this] { probe(); })
{
    assert(!vms.empty());
    for (const Address &vm : vms) {
        m_targets.push_back(
            {std::make_unique<HttpClient>(loop, vm), std::make_unique<HttpClient>(loop, vm), true});
    }
    if (settings.probePeriod.count() > 0) {
        m_probeTimer.startRepeating(settings.probePeriod);
    }
}

void CallerLoadBalancer::probe()
{
    for (Target &target : m_targets) {
        target.probeClient->send(
            {"GET", "/health/ready", {}, {}, m_settings.probePeriod},
            [&target](const std::optional<HttpAnswer> &answer, const Reason &) {
                target.isReady = answer.has_value() && answer->status == statusOk;
            });
    }
}

CallerLoadBalancer::Target &CallerLoadBalancer::nextTarget()
{
    for (std::size_t attempts = 0; attempts < m_targets.size(); ++attempts) {
        Target &target = m_targets[m_next++ % m_targets.size()];
        if (target.isReady) {
            return target;
        }
    }
    return m_targets[m_next++ % m_targets.size()];
}

void CallerLoadBalancer::send(const PlannedRequest &request, LoadRunner::DoneHook done)
{
    nextTarget().callerClient->send(
        {"POST", "/query", {}, request.callerBody, request.deadline + m_settings.grace},
        [this, done = std::move(done)](const std::optional<HttpAnswer> &answer,
                                       const Reason &reason) {
            LoadOutcome outcome;
            outcome.code = reason.code;
            done(answer ? readOutcome(*answer) : outcome);
        });
}

LoadOutcome CallerLoadBalancer::readOutcome(const HttpAnswer &answer) const
{
    // The records are the last field of the answer. They are cut off before parsing, because
    // parsing them would cost the load tool much processor time.
    constexpr bool throwOnError = false;
    const auto recordsAt = answer.body.find(",\"records\":");
    const std::string withoutRecords
        = recordsAt == std::string::npos ? answer.body : answer.body.substr(0, recordsAt) + "}";
    const auto json = nlohmann::json::parse(withoutRecords, nullptr, throwOnError);
    LoadOutcome outcome;
    outcome.code = ResultCode::InternalError;
    if (json.is_object()) {
        outcome.requestId = json.value("requestId", std::string());
        outcome.version = json.value("version", IndexVersion {0});
        outcome.coverage = json.value("coverage", 0.0);
        outcome.code = resultCodeFromNumber(json.value("code", std::uint64_t {0}));
    }
    if (m_settings.keepsBody) {
        outcome.body = answer.body;
    }
    return outcome;
}

} // namespace pimentoward::standins
