#pragma once

#include "Pimentoward/Discovery/VmView.h"
#include "Pimentoward/Sharing/HttpVmExchange.h"
#include "Pimentoward/Sharing/RateAdmission.h"
#include "Pimentoward/Version/WorkspaceTable.h"

#include <optional>

namespace pimentoward {

/// Settings of a VmSharing.
struct VmSharingSettings
{
    /// Address at which other VMs reach this one. All VMs use the same port. Without an address
    /// nothing is shared, and rate limits are not enforced.
    std::optional<Address> listen;
    /// What the deployment tolerates above a rate limit.
    RateTolerance rateTolerance;
    RateGranter::Settings granter;
};

/// What this VM knows and grants together with the other VMs. Opens no listener and sends nothing
/// until the settings name something to share. Must be used from one task only.
class VmSharing
{
public:
    VmSharing(event_base *loop, const VmSharingSettings &settings, const MemberId &self,
              Metrics &metrics);

    /// Applies the workspaces of another settings version. Returns the one who decides on their
    /// requests; null if no workspace has ever had a limit.
    RequestAdmission *changeWorkspaces(const WorkspaceTable &workspaces);
    void changeVms(const VmView &view);
    VmExchange &exchange() { return m_exchange; }
    /// Starts to listen, unless that was done before.
    void listen();

private:
    void applyVms();

    VmSharingSettings m_settings;
    HttpVmExchange m_exchange;
    RateAdmission m_admission;
    VmView m_view;
    bool m_isListening = false;
    bool m_hasLimits = false;
};

} // namespace pimentoward
