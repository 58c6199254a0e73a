#include "Pimentoward/Process/SettingsHistoryWriter.h"

#include "Pimentoward/Core/Log.h"

#include <algorithm>

namespace pimentoward {

struct SettingsHistoryWriter::State : std::enable_shared_from_this<State>
{
    explicit State(Store &taskStore)
        : store(taskStore)
    { }

    Store &store;
    std::vector<SettingsChangeRecord> waiting;
    bool isBusy = false;
    log4cplus::Logger log = Log::part("settings");

    void startWrite()
    {
        isBusy = true;
        store.read(storeKey, [weak = weak_from_this()](const auto &stored, const Reason &) {
            if (const auto self = weak.lock()) {
                self->isBusy = false;
                if (stored) {
                    self->onRead(*stored);
                }
            }
        });
    }

    void onRead(const StoredValue &stored)
    {
        Reason reason;
        auto history = SettingsHistory::parse(stored.value, reason);
        if (!history) {
            LOG4CPLUS_ERROR(
                log, "Replacing the unreadable settings history in the store: " << reason.text);
            history = SettingsHistory();
        }
        if (!history->add(waiting)) {
            waiting.clear();
            return;
        }
        isBusy = true;
        const std::size_t recordCount = waiting.size();
        store.compareAndSwap(
            storeKey, stored.revision, history->toJson(),
            [weak = weak_from_this(), recordCount](const auto &outcome, const auto &) {
                if (const auto self = weak.lock()) {
                    self->onWritten(outcome, recordCount);
                }
            });
    }

    /// After any outcome other than Committed, the next write reads the history again and adds the
    /// records that are still missing.
    void onWritten(const WriteOutcome &outcome, std::size_t recordCount)
    {
        isBusy = false;
        if (outcome.status == WriteStatus::Committed) {
            const auto end = waiting.begin() + static_cast<std::ptrdiff_t>(recordCount);
            waiting.erase(waiting.begin(), end);
        }
    }
};

SettingsHistoryWriter::SettingsHistoryWriter(Store &store)
    : m_state(std::make_shared<State>(store))
{ }

SettingsHistoryWriter::~SettingsHistoryWriter() = default;

void SettingsHistoryWriter::record(const std::vector<SettingsChangeRecord> &records)
{
    constexpr std::size_t maxWaiting = 1000;
    auto &waiting = m_state->waiting;
    waiting.insert(waiting.end(), records.begin(), records.end());
    if (waiting.size() > maxWaiting && !m_state->isBusy) {
        waiting.erase(waiting.begin(), waiting.end() - maxWaiting);
    }
    tick();
}

void SettingsHistoryWriter::tick()
{
    if (!m_state->waiting.empty() && !m_state->isBusy) {
        m_state->startWrite();
    }
}

std::size_t SettingsHistoryWriter::waiting() const
{
    return m_state->waiting.size();
}

} // namespace pimentoward
