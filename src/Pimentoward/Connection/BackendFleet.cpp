#include "Pimentoward/Connection/BackendFleet.h"

#include "Pimentoward/Process/RendezvousHash.h"

#include <algorithm>
#include <set>
#include <utility>

namespace pimentoward {

namespace {

/// True if both records describe the same incarnation of a backend server.
bool isSameIncarnation(const BackendRecord &a, const BackendRecord &b)
{
    return a.address == b.address && a.incarnation == b.incarnation && a.service == b.service;
}

} // namespace

BackendFleet::BackendFleet(event_base *loop, const Settings &settings,
                           BackendLink::FreeCapacityHook onFreeCapacity)
    : m_loop(loop)
    , m_settings(settings)
    , m_replyMemory(settings.replyBytes)
    , m_onFreeCapacity(std::move(onFreeCapacity))
{ }

unsigned BackendFleet::connectionShareOf(const BackendRecord &record, const RouteTable &routes,
                                         std::size_t members) const
{
    const ServiceRules *rules = routes.service(record.service);
    if (rules == nullptr || rules->maxConnections == 0) {
        return m_settings.defaultConnections;
    }
    const double used = m_settings.usedShare * rules->maxConnections;
    const auto share
        = static_cast<unsigned>(used / static_cast<double>(std::max<std::size_t>(1, members)));
    return std::clamp(share, 1U, std::max(1U, m_settings.connectionsPerSlot * record.slots));
}

void BackendFleet::changeColdSettings(const ColdLimit::Settings &settings)
{
    m_settings.cold = settings;
    for (const auto &[id, link] : m_links) {
        link->coldLimit().changeSettings(settings);
    }
}

void BackendFleet::updateColdShare(BackendLink &link, const RouteTable &routes,
                                   const std::vector<MemberId> &members) const
{
    const ServiceRules *rules = routes.service(link.record().service);
    if (rules == nullptr || rules->coldRequestsPerSecond <= 0 || members.empty()) {
        link.coldLimit().changeShare(0, 0, 1);
        link.changeHealthPath("");
        return;
    }
    const std::size_t rank = RendezvousHash::rank(members, m_settings.self, link.record().id);
    link.coldLimit().changeShare(rules->coldRequestsPerSecond, rank, members.size());
    link.changeHealthPath(rules->healthPath);
}

void BackendFleet::update(const BackendListPtr &list, const RouteTablePtr &routes,
                          const std::vector<MemberId> &members)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    removeUnlisted(*list);
    m_linksByService.clear();
    for (const auto &[service, records] : list->byService) {
        std::vector<BackendLink *> &links = m_linksByService[service];
        for (const BackendRecord &record : records) {
            std::unique_ptr<BackendLink> &link = m_links[record.id];
            if (link && !isSameIncarnation(link->record(), record)) {
                takeOutOfService(std::exchange(link, nullptr));
            }
            if (!link) {
                link = std::make_unique<BackendLink>(m_loop, record, m_settings.cold, now,
                                                     m_onFreeCapacity, &m_replyMemory);
                link->changeNotice(m_notices.notice(record));
            }
            link->changeRecord(record, now);
            link->changeMaxConnections(connectionShareOf(record, *routes, members.size()));
            updateColdShare(*link, *routes, members);
            links.push_back(link.get());
        }
        selectPreferred(links, *routes, members.size());
    }
}

void BackendFleet::selectPreferred(std::vector<BackendLink *> &links, const RouteTable &routes,
                                   std::size_t members) const
{
    const ServiceRules *rules = routes.service(links.front()->record().service);
    const double accepted = rules == nullptr ? 0 : rules->maxConnections;
    std::size_t maxPreferred = links.size();
    if (accepted > 0) {
        const double preferredPerVm = m_settings.usedShare * accepted
            * static_cast<double>(links.size())
            / static_cast<double>(std::max<std::size_t>(1, members));
        maxPreferred
            = std::max(static_cast<std::size_t>(preferredPerVm), m_settings.minPreferredReplicas);
    }
    const auto rank = [this](const BackendLink *link) {
        const BackendRecord &record = link->record();
        const bool isRemote = record.failureDomain != m_settings.failureDomain;
        return std::make_pair(isRemote, RendezvousHash::weight(m_settings.self, record.id));
    };
    std::sort(links.begin(), links.end(),
              [&](const BackendLink *a, const BackendLink *b) { return rank(a) < rank(b); });
    for (std::size_t index = 0; index < links.size(); ++index) {
        links[index]->changePreferred(index < maxPreferred);
    }
}

void BackendFleet::removeUnlisted(const BackendList &list)
{
    std::set<BackendServerId> listed;
    for (const auto &[service, records] : list.byService) {
        for (const BackendRecord &record : records) {
            listed.insert(record.id);
        }
    }
    for (auto it = m_links.begin(); it != m_links.end();) {
        if (listed.count(it->first) > 0) {
            ++it;
            continue;
        }
        takeOutOfService(std::move(it->second));
        it = m_links.erase(it);
    }
}

void BackendFleet::takeOutOfService(std::unique_ptr<BackendLink> link)
{
    link->takeOutOfService();
    m_drainingLinks.push_back(std::move(link));
}

const std::vector<BackendLink *> &BackendFleet::linksOf(const ServiceName &service) const
{
    static const std::vector<BackendLink *> none;
    const auto found = m_linksByService.find(service);
    return found == m_linksByService.end() ? none : found->second;
}

BackendLink *BackendFleet::link(const BackendServerId &id) const
{
    const auto found = m_links.find(id);
    return found == m_links.end() ? nullptr : found->second.get();
}

bool BackendFleet::onLeaving(BackendLink &link)
{
    const bool wasLeaving = link.notice().isLeaving;
    m_notices.onLeaving(link.record());
    link.changeNotice(m_notices.notice(link.record()));
    return !wasLeaving;
}

bool BackendFleet::onPauseRequested(BackendLink &link, SteadyTime until)
{
    const SteadyTime before = link.notice().pausedUntil;
    m_notices.onPauseRequested(link.record(), until);
    link.changeNotice(m_notices.notice(link.record()));
    return link.notice().pausedUntil > before;
}

void BackendFleet::removeDrained()
{
    const auto drained
        = std::remove_if(m_drainingLinks.begin(), m_drainingLinks.end(), [this](const auto &link) {
              const bool isDrained = link->connections() == 0;
              m_openedByRemoved += isDrained ? link->connectionsOpened() : 0;
              return isDrained;
          });
    m_drainingLinks.erase(drained, m_drainingLinks.end());
}

std::size_t BackendFleet::connections() const
{
    std::size_t count = 0;
    for (const auto &[id, link] : m_links) {
        count += link->connections();
    }
    for (const auto &link : m_drainingLinks) {
        count += link->connections();
    }
    return count;
}

std::uint64_t BackendFleet::connectionsOpened() const
{
    std::uint64_t count = m_openedByRemoved;
    for (const auto &[id, link] : m_links) {
        count += link->connectionsOpened();
    }
    for (const auto &link : m_drainingLinks) {
        count += link->connectionsOpened();
    }
    return count;
}

} // namespace pimentoward
