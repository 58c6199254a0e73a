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

/// One VM of the tier.
struct Member
{
    MemberId id;
    /// IPv4 number; the ports are equal on all VMs.
    std::string host;
    FailureDomain failureDomain;
};

/// What the control task tells the query task. Immutable; a change is a new view. All times are
/// of this process's monotonic clock, so that a view which has aged during a freeze permits
/// nothing.
struct ControlView
{
    /// Rises with each view that the control task publishes.
    std::uint64_t sequence = 0;
    Epoch epoch = 0;
    std::map<MemberId, Member> members;
    /// New work may be taken and dispatched before this time: quorum contact.
    SteadyTime contactUntil {};
    /// Backend servers that this VM owns, and until when it may dispatch to them.
    std::unordered_map<BackendServerId, SteadyTime> ownedUntil;
    /// Where this VM sends subrequests for a backend server.
    std::unordered_map<BackendServerId, MemberId> owners;
    std::map<ServiceName, std::shared_ptr<const ServiceCatalog>> services;
    std::shared_ptr<const SettingsDocument> settings;
    /// Longest time that a backend server may be given for one dispatch: whoever takes over from a
    /// silent owner waits as long.
    std::chrono::milliseconds maxDispatchTime {1000};
    /// True where this VM is leaving and takes no new caller requests.
    bool leaving = false;

    /// True where this VM may take on or dispatch new work.
    bool hasContact(SteadyTime now) const { return now < contactUntil; }
    /// Why this VM takes no request for `service` now; nothing where it does.
    std::optional<Reason> refusal(const ServiceName &service, SteadyTime now) const;
    /// True where this VM may dispatch to the backend server.
    bool mayDispatch(const BackendServerId &backendServer, SteadyTime now) const
    {
        const auto owned = ownedUntil.find(backendServer);
        return hasContact(now) && owned != ownedUntil.end() && now < owned->second;
    }
};

} // namespace pimentoward
