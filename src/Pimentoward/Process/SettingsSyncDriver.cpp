#include "Pimentoward/Process/SettingsSyncDriver.h"

#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Process/SettingsHistoryWriter.h"
#include "Pimentoward/Process/SettingsSync.h"

namespace pimentoward {

namespace {

constexpr std::chrono::seconds historyWritePeriod {1};

} // namespace

struct SettingsSyncDriver::State : std::enable_shared_from_this<State>
{
    State(const SettingsSyncSettings &settings, Store &taskStore, const Clock &taskClock,
          Hooks driverHooks)
        : store(taskStore)
        , clock(taskClock)
        , hooks(std::move(driverHooks))
        , sync(settings)
        , history(taskStore)
    { }

    Store &store;
    const Clock &clock;
    Hooks hooks;
    SettingsSync sync;
    SettingsHistoryWriter history;
    SteadyTime nextHistoryWriteAt {};
    std::map<ChangeToken, ChangeHook> changeHooks;
    ChangeToken lastToken = 0;
    Revision publishedRevision = 0;
    log4cplus::Logger log = Log::part("settings");

    void run(const SettingsActions &actions)
    {
        for (const SettingsAction &action : actions) {
            std::visit([this](const auto &typedAction) { execute(typedAction); }, action);
        }
        if (const auto &document = sync.document(); document->revision != publishedRevision) {
            publishedRevision = document->revision;
            LOG4CPLUS_INFO(log,
                           "Settings revision " << publishedRevision
                                                << " is in force, made by change "
                                                << document->changeId);
            hooks.documentChanged(document);
        }
    }

    Store::ReadHook readHook(StoreCallId call)
    {
        return [weak = weak_from_this(), call](const auto &stored, const Reason &) {
            if (const auto self = weak.lock()) {
                self->run(self->sync.onRead(call, stored, self->clock.now()));
            }
        };
    }

    void execute(const ReadSettings &action) { store.read(storeKey, readHook(action.call)); }

    void execute(const WatchSettings &action)
    {
        store.watch(storeKey, action.after, action.wait, readHook(action.call));
    }

    void execute(const WriteSettings &action)
    {
        store.compareAndSwap(
            storeKey, action.expected, action.value,
            [weak = weak_from_this(), call = action.call](const auto &outcome, const Reason &) {
                if (const auto self = weak.lock()) {
                    self->run(self->sync.onWrite(call, outcome, self->clock.now()));
                }
            });
    }

    void execute(const PushSettings &action)
    {
        hooks.sendDocument(action.to, action.document->toJson());
    }

    void execute(const RequestSettings &action) { hooks.requestDocument(action.to); }

    void execute(const RecordHistory &action) { history.record(action.document->recentChanges); }

    void execute(const AnswerChange &action)
    {
        const auto found = changeHooks.find(action.token);
        const ChangeHook done = std::move(found->second);
        changeHooks.erase(found);
        LOG4CPLUS_INFO(log,
                       "Settings change ended: " << resultCodeInfo(action.outcome.code).name << ' '
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
    m_state->run(m_state->sync.tick(now));
    if (now >= m_state->nextHistoryWriteAt) {
        m_state->nextHistoryWriteAt = now + historyWritePeriod;
        m_state->history.tick();
    }
}

void SettingsSyncDriver::updateMembers(std::vector<MemberId> members)
{
    m_state->run(m_state->sync.updateMembers(std::move(members), m_state->clock.now()));
}

void SettingsSyncDriver::onReport(const SettingsReport &report)
{
    m_state->run(m_state->sync.onReport(report, m_state->clock.now()));
}

void SettingsSyncDriver::onDocument(const std::string &text)
{
    Reason reason;
    if (const auto document = SettingsDocument::parse(text, reason)) {
        m_state->run(m_state->sync.onDocument(*document, m_state->clock.now()));
    } else {
        LOG4CPLUS_WARN(m_state->log,
                       "Rejected a settings document that a member sent: " << reason.text);
    }
}

void SettingsSyncDriver::onDocumentRequest(const MemberId &from)
{
    m_state->run(m_state->sync.onDocumentRequest(from));
}

void SettingsSyncDriver::change(const SettingsChange &change, ChangeHook done)
{
    const ChangeToken token = ++m_state->lastToken;
    m_state->changeHooks[token] = std::move(done);
    const Clock &clock = m_state->clock;
    m_state->run(m_state->sync.change(change, token, clock.now(), clock.wallNow()));
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
    return m_state->sync.document();
}

const Reason &SettingsSyncDriver::problem() const
{
    return m_state->sync.problem();
}

bool SettingsSyncDriver::isReady() const
{
    return m_state->sync.isReady();
}

bool SettingsSyncDriver::mayServe() const
{
    return m_state->sync.mayServe(m_state->clock.now());
}

SteadyTime SettingsSyncDriver::serveUntil() const
{
    return m_state->sync.serveUntil(m_state->clock.now());
}

bool SettingsSyncDriver::isWatcher() const
{
    return m_state->sync.isWatcher(m_state->clock.now());
}

std::size_t SettingsSyncDriver::waitingRecords() const
{
    return m_state->history.waiting();
}

} // namespace pimentoward
