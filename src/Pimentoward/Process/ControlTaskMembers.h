#pragma once

#include "Pimentoward/Core/Clock.h"
#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Process/Membership.h"
#include "Pimentoward/Process/Store.h"
#include "Pimentoward/Process/Timer.h"

namespace pimentoward {

/// Carries the member list between the store and a Membership: reads it at the start, writes the
/// first one, writes proposed changes by compare-and-swap, and reads the VM list.
class ControlTaskMembers
{
public:
    ControlTaskMembers(event_base *loop, const Clock &clock, Store &store, const Member &self,
                       Membership &membership);

    void start();

private:
    void onTimer();
    void readList();
    void readVms();
    void writeFirst();
    void changeList();
    void takeStored(const std::optional<StoredValue> &stored);
    void write(Revision expected, const MemberRecord &record);

    const Clock &m_clock;
    Store &m_store;
    Member m_self;
    Membership &m_membership;
    Timer m_timer;
    /// True while a call about the member list is under way.
    bool m_listBusy = false;
    bool m_vmsBusy = false;
    SteadyTime m_lastVms {};
    log4cplus::Logger m_log = Log::part("members");
};

} // namespace pimentoward
