#pragma once

#include "Pimentoward/Core/Reason.h"
#include "Pimentoward/Core/Types.h"
#include "Pimentoward/Process/SettingsDocument.h"
#include "Pimentoward/Version/ServiceCatalog.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace pimentoward {

/// A VM of the tier.
struct Member
{
    MemberId id;
    /// IPv4 address. All VMs use the same ports.
    std::string host;
    FailureDomain failureDomain;
};

/// State that the control task publishes to the query task. A view is immutable; each change is
/// published as a new view. All times are on this process's monotonic clock, so a view that has
/// expired while the process was suspended permits no work.
struct ControlView
{
    /// Increases with each view that the control task publishes.
    std::uint64_t sequence = 0;
    Epoch epoch = 0;
    std::map<MemberId, Member> members;
    /// End of quorum contact. New work may be accepted and dispatched only before this time.
    SteadyTime contactUntil {};
    /// Backend servers that this VM owns, each with the time until which dispatches to it are
    /// allowed.
    std::unordered_map<BackendServerId, SteadyTime> ownedUntil;
    /// The member to which this VM sends the subrequests for each backend server.
    std::unordered_map<BackendServerId, MemberId> owners;
    /// The known services with their catalogs.
    std::map<ServiceName, std::shared_ptr<const ServiceCatalog>> services;
    /// The operators' settings in force.
    std::shared_ptr<const SettingsDocument> settings;
    /// Maximum time that a backend server may be given for one dispatch. A member that takes over
    /// from an unresponsive owner waits for this time, so that the former owner's work has ended.
    std::chrono::milliseconds maxDispatchTime {1000};
    /// True if this VM is leaving the group and refuses new caller requests.
    bool leaving = false;

    /// True if this VM may accept or dispatch new work.
    bool hasContact(SteadyTime now) const { return now < contactUntil; }
    /// Returns why this VM refuses requests for `service` at `now`, or nothing if it accepts them.
    std::optional<Reason> refusal(const ServiceName &service, SteadyTime now) const;
    /// True if this VM may dispatch to the backend server at `now`.
    bool mayDispatch(const BackendServerId &backendServer, SteadyTime now) const
    {
        const auto owned = ownedUntil.find(backendServer);
        return hasContact(now) && owned != ownedUntil.end() && now < owned->second;
    }
};

} // namespace pimentoward
