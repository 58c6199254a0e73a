#pragma once

#include "Pimentoward/Core/Clock.h"
#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Process/Membership.h"
#include "Pimentoward/Process/Store.h"
#include "Pimentoward/Process/Timer.h"

namespace pimentoward {

/// Keeps the member list of a Membership and the one in the store equal: reads the list at the
/// start, creates it if the store has none, and writes proposed changes by compare-and-swap. Also
/// reads the platform's VM list periodically.
class ControlTaskMembers
{
public:
    ControlTaskMembers(event_base *loop, const Clock &clock, Store &store, const Member &self,
                       Membership &membership);

    /// Reads the member list and the VM list, then checks periodically what to read or write next.
    void start();

private:
    void onTimer();
    void readList();
    void readVms();
    void writeFirstList();
    void writeProposedChange();
    void applyStored(const std::optional<StoredValue> &stored);
    void write(Revision expected, const MemberRecord &record);

    const Clock &m_clock;
    Store &m_store;
    Member m_self;
    Membership &m_membership;
    Timer m_timer;
    /// True while a store call needed to read or write the member list is pending.
    bool m_isListCallPending = false;
    /// True while a read of the VM list is pending.
    bool m_isVmReadPending = false;
    /// Start of the last VM list read.
    SteadyTime m_lastVmRead {};
    log4cplus::Logger m_log = Log::part("members");
};

} // namespace pimentoward
