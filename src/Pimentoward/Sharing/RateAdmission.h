#pragma once

#include "Pimentoward/Discovery/FeedChooser.h"
#include "Pimentoward/Process/Metrics.h"
#include "Pimentoward/Process/Timer.h"
#include "Pimentoward/Request/RequestAdmission.h"
#include "Pimentoward/Sharing/RateAsker.h"
#include "Pimentoward/Sharing/VmExchange.h"

#include <set>
#include <unordered_map>

struct event_base;

namespace pimentoward {

/// Enforces the rate limits of workspaces over all VMs. The decisions are made by RateAsker and
/// RateGranter; this class performs the input and output for them. Must be used from one task only.
class RateAdmission : public RequestAdmission
{
public:
    struct Settings
    {
        MemberId self;
        RateTolerance tolerance;
        /// How long an answer of another VM is waited for.
        Duration askTimeout = std::chrono::milliseconds(30);
        RateGranter::Settings granter;
        RateAsker::Settings asker;
        /// Maximum number of workspaces with metrics of their own; the others share one.
        std::size_t maxNamedWorkspaces = 32;
    };

    RateAdmission(const Settings &settings, VmExchange &exchange, Metrics &metrics);

    /// Applies the workspaces of another settings version.
    void changeWorkspaces(const std::vector<Workspace> &workspaces, SteadyTime now);
    /// Replaces the VMs that can grant, this one included.
    void changeVms(std::vector<MemberId> vms, SteadyTime now);
    /// Reports that the list of VMs was the store's at `at`.
    void onViewConfirmed(SteadyTime at, SteadyTime now);
    void admit(const Workspace &workspace, SteadyTime now, SteadyTime answerBy,
               DecisionHook done) override;

private:
    void onPartsChanged(SteadyTime now);
    void carryOut(RateAsker::Actions actions);
    void ask(const RateAsker::Ask &ask);
    void decide(const RateAsker::Decide &decision);
    void count(const RateAsker::Decide &decision);
    std::optional<SharedSection> answer(const SharedSection &section);

    Settings m_settings;
    VmExchange &m_exchange;
    Metrics &m_metrics;
    RateParts m_parts;
    RateGranter m_granter;
    RateAsker m_asker;
    std::uint64_t m_lastRequest = 0;
    std::unordered_map<std::uint64_t, DecisionHook> m_hooks;
    std::set<std::string> m_namedWorkspaces;
};

} // namespace pimentoward
