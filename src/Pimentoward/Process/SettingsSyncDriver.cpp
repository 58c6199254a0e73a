#include "Pimentoward/Process/SettingsSyncDriver.h"

#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Process/SettingsHistoryWriter.h"
#include "Pimentoward/Process/SettingsSync.h"

namespace pimentoward {

namespace {

constexpr std::chrono::seconds historyRetry {1};

} // namespace

struct SettingsSyncDriver::State : std::enable_shared_from_this<State>
{
    State(const SettingsSyncSettings &settings, Store &s, const Clock &c, Hooks h)
        : store(s)
        , clock(c)
        , hooks(std::move(h))
        , keeper(settings)
        , history(s)
    { }

    Store &store;
    const Clock &clock;
    Hooks hooks;
    SettingsSync keeper;
    SettingsHistoryWriter history;
    SteadyTime nextHistoryTry {};
    std::map<ChangeToken, ChangeHook> waiting;
    ChangeToken lastToken = 0;
    Revision published = 0;
    log4cplus::Logger log = Log::part("settings");

    void run(const SettingsActions &actions)
    {
        for (const SettingsAction &action : actions) {
            std::visit([this](const auto &one) { act(one); }, action);
        }
        if (const auto &document = keeper.document(); document->revision != published) {
            published = document->revision;
            LOG4CPLUS_INFO(log,
                           "Revision " << published << " in force, change " << document->changeId);
            hooks.changed(document);
        }
    }

    Store::ReadHook readHook(StoreCallId call)
    {
        return [weak = weak_from_this(), call](const auto &stored, const Reason &) {
            if (const auto self = weak.lock()) {
                self->run(self->keeper.onRead(call, stored, self->clock.now()));
            }
        };
    }

    void act(const ReadSettings &action) { store.read(storeKey, readHook(action.call)); }

    void act(const WatchSettings &action)
    {
        store.watch(storeKey, action.after, action.wait, readHook(action.call));
    }

    void act(const WriteSettings &action)
    {
        store.compareAndSwap(
            storeKey, action.expected, action.value,
            [weak = weak_from_this(), call = action.call](const auto &outcome, const Reason &) {
                if (const auto self = weak.lock()) {
                    self->run(self->keeper.onWrite(call, outcome, self->clock.now()));
                }
            });
    }

    void act(const PushSettings &action) { hooks.push(action.to, action.document->toJson()); }

    void act(const AskSettings &action) { hooks.ask(action.to); }

    void act(const RecordSettings &action) { history.record(action.document->recentChanges); }

    void act(const AnswerChange &action)
    {
        const auto found = waiting.find(action.token);
        const ChangeHook done = std::move(found->second);
        waiting.erase(found);
        LOG4CPLUS_INFO(log,
                       "Change ended: " << resultCodeInfo(action.outcome.code).name << ' '
                                        << action.outcome.text);
        done(action.outcome, action.revision);
    }
};

SettingsSyncDriver::SettingsSyncDriver(const SettingsSyncSettings &settings, Store &store,
                                       const Clock &clock, Hooks hooks)
    : m_state(std::make_shared<State>(settings, store, clock, std::move(hooks)))
{ }

SettingsSyncDriver::~SettingsSyncDriver() = default;

void SettingsSyncDriver::tick()
{
    const SteadyTime now = m_state->clock.now();
    m_state->run(m_state->keeper.tick(now));
    if (now >= m_state->nextHistoryTry) {
        m_state->nextHistoryTry = now + historyRetry;
        m_state->history.tick();
    }
}

void SettingsSyncDriver::updateMembers(std::vector<MemberId> members)
{
    m_state->run(m_state->keeper.updateMembers(std::move(members), m_state->clock.now()));
}

void SettingsSyncDriver::onReport(const SettingsReport &report)
{
    m_state->run(m_state->keeper.onReport(report, m_state->clock.now()));
}

void SettingsSyncDriver::onDocument(const std::string &text)
{
    Reason reason;
    if (const auto document = SettingsDocument::parse(text, reason)) {
        m_state->run(m_state->keeper.onDocument(*document, m_state->clock.now()));
    } else {
        LOG4CPLUS_WARN(m_state->log, "Document of a member refused: " << reason.text);
    }
}

void SettingsSyncDriver::onDocumentRequest(const MemberId &from)
{
    m_state->run(m_state->keeper.onDocumentRequest(from));
}

void SettingsSyncDriver::change(const SettingsChange &change, ChangeHook done)
{
    const ChangeToken token = ++m_state->lastToken;
    m_state->waiting[token] = std::move(done);
    const Clock &clock = m_state->clock;
    m_state->run(m_state->keeper.change(change, token, clock.now(), clock.wallNow()));
}

void SettingsSyncDriver::readHistory(HistoryHook done)
{
    m_state->store.read(
        SettingsHistoryWriter::storeKey,
        [done = std::move(done)](const auto &stored, const Reason &why) {
            Reason reason = why;
            done(stored ? SettingsHistory::parse(stored->value, reason) : std::nullopt, reason);
        });
}

const std::shared_ptr<const SettingsDocument> &SettingsSyncDriver::document() const
{
    return m_state->keeper.document();
}

const Reason &SettingsSyncDriver::problem() const
{
    return m_state->keeper.problem();
}

bool SettingsSyncDriver::isReady() const
{
    return m_state->keeper.isReady();
}

bool SettingsSyncDriver::mayServe() const
{
    return m_state->keeper.mayServe(m_state->clock.now());
}

SteadyTime SettingsSyncDriver::serveUntil() const
{
    return m_state->keeper.serveUntil(m_state->clock.now());
}

bool SettingsSyncDriver::isWatcher() const
{
    return m_state->keeper.isWatcher(m_state->clock.now());
}

std::size_t SettingsSyncDriver::waitingRecords() const
{
    return m_state->history.waiting();
}

} // namespace pimentoward
