#include "Pimentoward/Sharing/RateAdmission.h"

#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Sharing/RateMessages.h"

namespace pimentoward {

namespace {

const log4cplus::Logger &rateLog()
{
    static const log4cplus::Logger log = Log::part("rates");
    return log;
}

const char *nameOf(RateAsker::Source source)
{
    switch (source) {
    case RateAsker::Source::Granter:
        return "granted";
    case RateAsker::Source::Reserve:
        return "reserve";
    case RateAsker::Source::Dry:
        return "over-limit";
    case RateAsker::Source::Unreachable:
        return "no-granter";
    }
    return "";
}

RateGranter::Settings granterSettings(const RateAdmission::Settings &settings)
{
    RateGranter::Settings granter = settings.granter;
    granter.self = settings.self;
    return granter;
}

} // namespace

RateAdmission::RateAdmission(const Settings &settings, VmExchange &exchange, Metrics &metrics)
    : m_settings(settings)
    , m_exchange(exchange)
    , m_metrics(metrics)
    , m_parts(settings.tolerance)
    , m_granter(granterSettings(settings))
    , m_asker(m_parts, settings.asker)
{
    m_exchange.serve(
        SharedTopic::RateLimit,
        [this](const MemberId &, const SharedSection &section) { return answer(section); });
}

void RateAdmission::changeWorkspaces(const std::vector<Workspace> &workspaces, SteadyTime now)
{
    m_parts.changeWorkspaces(workspaces);
    onPartsChanged(now);
}

void RateAdmission::changeVms(std::vector<MemberId> vms, SteadyTime now)
{
    m_parts.changeVms(std::move(vms));
    onPartsChanged(now);
}

void RateAdmission::onViewConfirmed(SteadyTime at, SteadyTime now)
{
    m_granter.onViewConfirmed(at, now);
}

void RateAdmission::onPartsChanged(SteadyTime now)
{
    for (const std::string &key : m_granter.update(m_parts, now)) {
        LOG4CPLUS_INFO(rateLog(),
                       "event=granter part=" << key << " state="
                                             << (m_granter.hasRole(key) ? "begun" : "stopped")
                                             << " parts=" << m_granter.roles());
    }
    m_asker.onPartsChanged();
}

void RateAdmission::admit(const Workspace &workspace, SteadyTime now, SteadyTime, DecisionHook done)
{
    const std::uint64_t request = ++m_lastRequest;
    m_hooks.emplace(request, std::move(done));
    carryOut(m_asker.onRequest(workspace.name, request, now));
}

void RateAdmission::carryOut(RateAsker::Actions actions)
{
    // This VM's own answers are taken in a loop, since each may lead to the next question.
    while (!actions.empty()) {
        RateAsker::Actions next;
        for (const RateAsker::Action &action : actions) {
            if (const auto *decision = std::get_if<RateAsker::Decide>(&action)) {
                decide(*decision);
                continue;
            }
            const auto &wanted = std::get<RateAsker::Ask>(action);
            if (wanted.granter != m_settings.self) {
                ask(wanted);
                continue;
            }
            const SteadyTime now = std::chrono::steady_clock::now();
            const RateAnswer own = m_granter.onAsked(wanted.question, now);
            for (RateAsker::Action &following : m_asker.onAnswer(wanted.workspace, own, now)) {
                next.push_back(std::move(following));
            }
        }
        actions = std::move(next);
    }
}

void RateAdmission::ask(const RateAsker::Ask &ask)
{
    m_metrics.counter("pimentoward_rate_questions_total", "Questions to granters of rate limits")
        .add();
    m_exchange.ask(
        ask.granter, {SharedTopic::RateLimit, encode(ask.question)}, m_settings.askTimeout,
        [this, workspace = ask.workspace](const std::optional<SharedSection> &section) {
            const auto answer = section ? decodeRateAnswer(section->content) : std::nullopt;
            if (!answer) {
                m_metrics
                    .counter("pimentoward_rate_questions_unanswered_total",
                             "Questions to granters of rate limits without an answer in time")
                    .add();
            }
            carryOut(m_asker.onAnswer(workspace, answer, std::chrono::steady_clock::now()));
        });
}

void RateAdmission::decide(const RateAsker::Decide &decision)
{
    count(decision);
    const auto found = m_hooks.find(decision.request);
    const DecisionHook done = std::move(found->second);
    m_hooks.erase(found);
    done({decision.isAdmitted, decision.retryAfter});
}

void RateAdmission::count(const RateAsker::Decide &decision)
{
    if (m_namedWorkspaces.size() < m_settings.maxNamedWorkspaces) {
        m_namedWorkspaces.insert(decision.workspace);
    }
    const bool isNamed = m_namedWorkspaces.count(decision.workspace) > 0;
    m_metrics
        .counter("pimentoward_rate_decisions_total", "Decisions on requests of limited workspaces",
                 {{"workspace", isNamed ? decision.workspace : "others"},
                  {"decision", nameOf(decision.source)}})
        .add();
}

std::optional<SharedSection> RateAdmission::answer(const SharedSection &section)
{
    const std::optional<RateQuestion> question = decodeRateQuestion(section.content);
    if (!question) {
        return std::nullopt;
    }
    return SharedSection {SharedTopic::RateLimit,
                          encode(m_granter.onAsked(*question, std::chrono::steady_clock::now()))};
}

} // namespace pimentoward
