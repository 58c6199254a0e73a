#include "Pimentoward/Process/ControlTaskMembers.h"

namespace pimentoward {

namespace {

constexpr const char *membersKey = "group/members";
constexpr std::chrono::milliseconds timerPeriod {500};
/// Time between two reads of the VM list, for the two watchers and for all other members.
constexpr std::chrono::seconds watcherVmPeriod {5};
constexpr std::chrono::seconds otherVmPeriod {20};

} // namespace

ControlTaskMembers::ControlTaskMembers(event_base *loop, const Clock &clock, Store &store,
                                       const Member &self, Membership &membership)
    : m_clock(clock)
    , m_store(store)
    , m_self(self)
    , m_membership(membership)
    , m_timer(loop, [this] { onTimer(); })
{ }

void ControlTaskMembers::start()
{
    onTimer();
    m_timer.startRepeating(timerPeriod);
}

void ControlTaskMembers::onTimer()
{
    const SteadyTime now = m_clock.now();
    const auto period = m_membership.isWatcher() ? watcherVmPeriod : otherVmPeriod;
    if (!m_isVmReadPending && now >= m_lastVmRead + period) {
        m_lastVmRead = now;
        readVms();
    }
    if (m_isListCallPending) {
        return;
    }
    if (!m_membership.knowsNewestList()) {
        readList();
    } else if (m_membership.proposedChange(now)) {
        writeProposedChange();
    }
}

void ControlTaskMembers::readVms()
{
    m_isVmReadPending = true;
    m_store.listVms([this](const auto &vms, const Reason &reason) {
        m_isVmReadPending = false;
        if (!vms) {
            LOG4CPLUS_WARN(m_log, "Cannot read the VM list: " << reason.text);
            return;
        }
        m_membership.onVmList(*vms);
    });
}

void ControlTaskMembers::applyStored(const std::optional<StoredValue> &stored)
{
    Reason reason;
    if (!stored || stored->revision == 0) {
        return;
    }
    if (const auto record = MemberRecord::parse(stored->value, reason)) {
        m_membership.onStoredList(*record, m_clock.now());
    } else {
        LOG4CPLUS_ERROR(m_log, "Ignored the stored member list, which is invalid: " << reason.text);
    }
}

void ControlTaskMembers::readList()
{
    m_isListCallPending = true;
    m_store.read(membersKey, [this](const auto &stored, const Reason &) {
        m_isListCallPending = false;
        if (stored && stored->revision == 0) {
            m_membership.onListAbsent();
            writeFirstList();
            return;
        }
        applyStored(stored);
    });
}

void ControlTaskMembers::writeFirstList()
{
    m_isListCallPending = true;
    m_store.listVms([this](const auto &vms, const Reason &) {
        m_isListCallPending = false;
        if (vms) {
            write(0, MemberList::first(m_self, *vms));
        }
    });
}

void ControlTaskMembers::writeProposedChange()
{
    m_isListCallPending = true;
    m_store.read(membersKey, [this](const auto &stored, const Reason &) {
        m_isListCallPending = false;
        applyStored(stored);
        // The change is computed again, because the stored list may be newer than the list from
        // which it was proposed.
        const auto next = m_membership.proposedChange(m_clock.now());
        if (stored && stored->revision != 0 && next) {
            write(stored->revision, *next);
        }
    });
}

void ControlTaskMembers::write(Revision expected, const MemberRecord &record)
{
    m_isListCallPending = true;
    m_store.compareAndSwap(
        membersKey, expected, record.toJson(),
        [this, record](const WriteOutcome &outcome, const Reason &reason) {
            m_isListCallPending = false;
            if (outcome.status == WriteStatus::Committed) {
                LOG4CPLUS_INFO(m_log,
                               "Wrote the member list of epoch " << record.epoch << " with "
                                                                 << record.members.size()
                                                                 << " members");
                m_membership.onStoredList(record, m_clock.now());
                return;
            }
            // Reads the stored list again, because a write of unknown outcome may have taken
            // effect.
            LOG4CPLUS_WARN(m_log,
                           "The store did not confirm the write of the member list of epoch "
                               << record.epoch << ": " << reason.text);
            readList();
        });
}

} // namespace pimentoward
