#pragma once

#include "Pimentoward/Connection/BackendLink.h"
#include "Pimentoward/Version/BackendDirectory.h"
#include "Pimentoward/Version/RouteTable.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace pimentoward {

/// The links of this VM to all backend servers in service. Belongs to one task.
///
/// Load pattern: where there are more VMs than a backend server accepts connections, each VM
/// prefers some replicas of a service only: those of its own failure domain, then others by hash,
/// so that the VMs spread evenly over them.
class BackendFleet
{
public:
    /// How the connections that a backend server accepts are shared among VMs.
    struct Settings
    {
        /// Part of the accepted connections that is used; the rest covers VMs that have just come
        /// and connections whose end the backend server has not noticed.
        double usedShare = 0.8;
        /// Most connections of one VM to one backend server, as a multiple of its slots.
        unsigned connectionsPerSlot = 2;
        /// The same for a backend server whose limit is not known.
        unsigned defaultConnections = 2;
        /// Fewest replicas of a service that a VM prefers: one for the request, one for its hedge.
        std::size_t fewestReplicas = 2;
        /// Where this VM stands, and its name, by which it picks among replicas elsewhere.
        FailureDomain failureDomain;
        MemberId self;
        ColdLimit::Settings cold;
    };

    BackendFleet(event_base *loop, const Settings &settings, BackendLink::RoomHook onRoom);

    /// Takes a changed list, settings or list of VMs. Links to what is no longer in service get
    /// nothing new.
    /// `members` are the VMs that share what backend servers bear, this one included.
    void update(const BackendListPtr &list, const RouteTablePtr &routes,
                const std::vector<MemberId> &members);
    /// Takes other bounds for cold backend servers; in force with the next update().
    void changeColdSettings(const ColdLimit::Settings &settings);
    /// Links to the backend servers of `service`.
    const std::vector<BackendLink *> &linksOf(const ServiceName &service) const;
    /// The link to one backend server in service; null where there is none.
    BackendLink *link(const BackendServerId &id) const;
    /// Drops links out of service whose last exchange has ended.
    void removeDrained();
    std::size_t size() const { return m_links.size(); }
    std::size_t connections() const;
    std::uint64_t connectionsOpened() const;

private:
    void preferSome(std::vector<BackendLink *> &links, const RouteTable &routes,
                    std::size_t members) const;
    unsigned shareOf(const BackendRecord &record, const RouteTable &routes,
                     std::size_t members) const;
    void shareCold(BackendLink &link, const RouteTable &routes,
                   const std::vector<MemberId> &members) const;
    void takeOutOfService(std::unique_ptr<BackendLink> link);
    void removeMissing(const BackendList &list);

    event_base *m_loop;
    Settings m_settings;
    BackendLink::RoomHook m_onRoom;
    std::unordered_map<BackendServerId, std::unique_ptr<BackendLink>> m_links;
    std::unordered_map<ServiceName, std::vector<BackendLink *>> m_byService;
    std::vector<std::unique_ptr<BackendLink>> m_ending;
    std::uint64_t m_openedByEnded = 0;
};

} // namespace pimentoward
