#include "Pimentoward/Process/ControlTaskMembers.h"

namespace pimentoward {

namespace {

constexpr const char *membersKey = "group/members";
constexpr std::chrono::milliseconds turnTime {500};
/// Between two readings of the VM list: by the two watchers, and by the others.
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
    m_timer.startRepeating(turnTime);
}

void ControlTaskMembers::onTimer()
{
    const SteadyTime now = m_clock.now();
    const auto period = m_membership.isWatcher() ? watcherVmPeriod : otherVmPeriod;
    if (!m_vmsBusy && now >= m_lastVms + period) {
        m_lastVms = now;
        readVms();
    }
    if (m_listBusy) {
        return;
    }
    if (!m_membership.knowsNewestList()) {
        readList();
    } else if (m_membership.proposedChange(now)) {
        changeList();
    }
}

void ControlTaskMembers::readVms()
{
    m_vmsBusy = true;
    m_store.listVms([this](const auto &vms, const Reason &reason) {
        m_vmsBusy = false;
        if (!vms) {
            LOG4CPLUS_WARN(m_log, "VM list not read: " << reason.text);
            return;
        }
        m_membership.onVmList(*vms);
    });
}

void ControlTaskMembers::takeStored(const std::optional<StoredValue> &stored)
{
    Reason reason;
    if (!stored || stored->revision == 0) {
        return;
    }
    if (const auto record = MemberRecord::parse(stored->value, reason)) {
        m_membership.onStoredList(*record, m_clock.now());
    } else {
        LOG4CPLUS_ERROR(m_log, "Member list not used: " << reason.text);
    }
}

void ControlTaskMembers::readList()
{
    m_listBusy = true;
    m_store.read(membersKey, [this](const auto &stored, const Reason &) {
        m_listBusy = false;
        if (stored && stored->revision == 0) {
            m_membership.onListAbsent();
            writeFirst();
            return;
        }
        takeStored(stored);
    });
}

void ControlTaskMembers::writeFirst()
{
    m_listBusy = true;
    m_store.listVms([this](const auto &vms, const Reason &) {
        m_listBusy = false;
        if (vms) {
            write(0, MemberList::first(m_self, *vms));
        }
    });
}

void ControlTaskMembers::changeList()
{
    m_listBusy = true;
    m_store.read(membersKey, [this](const auto &stored, const Reason &) {
        m_listBusy = false;
        takeStored(stored);
        // Decided anew: the stored list may have been newer than the one known here.
        const auto next = m_membership.proposedChange(m_clock.now());
        if (stored && stored->revision != 0 && next) {
            write(stored->revision, *next);
        }
    });
}

void ControlTaskMembers::write(Revision expected, const MemberRecord &record)
{
    m_listBusy = true;
    m_store.compareAndSwap(
        membersKey, expected, record.toJson(),
        [this, record](const WriteOutcome &outcome, const Reason &reason) {
            m_listBusy = false;
            if (outcome.status == WriteStatus::Committed) {
                LOG4CPLUS_INFO(m_log,
                               "Member list " << record.epoch << " written, "
                                              << record.members.size() << " members");
                m_membership.onStoredList(record, m_clock.now());
                return;
            }
            // Whatever stands there now is read: an unsure write may have taken effect.
            LOG4CPLUS_WARN(m_log, "Member list " << record.epoch << ": " << reason.text);
            readList();
        });
}

} // namespace pimentoward
