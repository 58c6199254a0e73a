#pragma once

#include "Pimentoward/Connection/BackendLink.h"
#include "Pimentoward/Core/MemoryBudget.h"
#include "Pimentoward/Version/BackendDirectory.h"
#include "Pimentoward/Version/RouteTable.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace pimentoward {

/// The links of this VM to all backend servers in service. Must be used from one task only.
///
/// Load pattern: there can be more VMs than connections that a backend server accepts. Each VM then
/// prefers only some replicas of a service: first those of its own failure domain, then others in
/// the order of a rendezvous hash, so that the VMs spread evenly over the replicas.
class BackendFleet
{
public:
    /// How the connections that a backend server accepts are shared among VMs.
    struct Settings
    {
        /// Share of the accepted connections that the VMs use. The rest covers VMs that have just
        /// joined, and closed connections that the backend server still counts.
        double usedShare = 0.8;
        /// Maximum connections of one VM to one backend server, as a multiple of its slots.
        unsigned connectionsPerSlot = 2;
        /// Maximum connections of one VM to a backend server whose connection limit is not known.
        unsigned defaultConnections = 2;
        /// Minimum number of replicas of a service that a VM prefers: one for a request and one for
        /// its hedge.
        std::size_t minPreferredReplicas = 2;
        /// Failure domain of this VM.
        FailureDomain failureDomain;
        /// Member ID of this VM. It is hashed to rank the replicas of a service, and the VMs that
        /// share the limit of a cold backend server.
        MemberId self;
        ColdLimit::Settings cold;
        /// Maximum bytes of unfinished replies from all backend servers together. A reply that
        /// would exceed it is broken off.
        std::size_t replyBytes = 33'554'432;
    };

    BackendFleet(event_base *loop, const Settings &settings,
                 BackendLink::FreeCapacityHook onFreeCapacity);

    /// Applies a changed list of backend servers, changed settings or a changed list of VMs. Links
    /// to backend servers that are no longer in service get no new requests.
    /// `members` are the VMs that share the capacity of the backend servers, this VM included.
    void update(const BackendListPtr &list, const RouteTablePtr &routes,
                const std::vector<MemberId> &members);
    /// Changes the limits for cold backend servers. They take full effect with the next update().
    void changeColdSettings(const ColdLimit::Settings &settings);
    /// Links to the backend servers of `service`, those in this VM's failure domain first.
    const std::vector<BackendLink *> &linksOf(const ServiceName &service) const;
    /// Records that the backend server of `link` has stated in a reply that it is leaving. Returns
    /// true if that was not known.
    bool onLeaving(BackendLink &link);
    /// Records that the backend server of `link` wants no requests before `until`. Returns true if
    /// this begins or extends a pause.
    bool onPauseRequested(BackendLink &link, SteadyTime until);
    /// The link to one backend server in service, or null if there is none.
    BackendLink *link(const BackendServerId &id) const;
    /// Destroys the links that are out of service and have no connections left.
    void removeDrained();
    std::size_t size() const { return m_links.size(); }
    /// Connections that are open now, including those of links that are out of service.
    std::size_t connections() const;
    /// Connections opened so far, including those of removed links.
    std::uint64_t connectionsOpened() const;

private:
    /// Sorts the links of one service by preference and marks the first ones as preferred.
    void selectPreferred(std::vector<BackendLink *> &links, const RouteTable &routes,
                         std::size_t members) const;
    unsigned connectionShareOf(const BackendRecord &record, const RouteTable &routes,
                               std::size_t members) const;
    void updateColdShare(BackendLink &link, const RouteTable &routes,
                         const std::vector<MemberId> &members) const;
    void takeOutOfService(std::unique_ptr<BackendLink> link);
    void removeUnlisted(const BackendList &list);

    event_base *m_loop;
    Settings m_settings;
    /// Shared by all links, so it is destroyed after them.
    MemoryBudget m_replyMemory;
    BackendLink::FreeCapacityHook m_onFreeCapacity;
    std::unordered_map<BackendServerId, std::unique_ptr<BackendLink>> m_links;
    std::unordered_map<ServiceName, std::vector<BackendLink *>> m_linksByService;
    BackendNotices m_notices;
    /// Links out of service that may still have exchanges running.
    std::vector<std::unique_ptr<BackendLink>> m_drainingLinks;
    /// Connections that were opened by links that have been removed.
    std::uint64_t m_openedByRemoved = 0;
};

} // namespace pimentoward
