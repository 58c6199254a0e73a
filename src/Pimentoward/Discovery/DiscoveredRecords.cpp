#include "Pimentoward/Discovery/DiscoveredRecords.h"

#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Core/PlainText.h"
#include "Pimentoward/Discovery/MemberAnnouncement.h"

#include <algorithm>

namespace pimentoward {

namespace {

const log4cplus::Logger &recordsLog()
{
    static const log4cplus::Logger log = Log::part("discovery");
    return log;
}

/// Returns the part of `key` after `prefix`; nothing if `key` does not start with `prefix`.
std::optional<std::string> withoutPrefix(const std::string &key, const std::string &prefix)
{
    if (key.compare(0, prefix.size(), prefix) != 0) {
        return std::nullopt;
    }
    return key.substr(prefix.size());
}

} // namespace

DiscoveredRecords::DiscoveredRecords(RecordCodec codec, const MemberId &self,
                                     const Settings &settings, Hooks hooks, MemberHooks memberHooks)
    : m_codec(std::move(codec))
    , m_requiresNewerSettings(settings.requiresNewerSettings)
    , m_restoreGrace(settings.restoreGrace)
    , m_hooks(std::move(hooks))
    , m_memberHooks(std::move(memberHooks))
    , m_directory(settings.directory)
    , m_rollouts(m_codec.rollouts)
    , m_members(self, settings.members)
    , m_publishedRollouts(m_rollouts.table())
{ }

void DiscoveredRecords::onWritten(const StoreItem &item, SteadyTime now)
{
    if (item.key == m_codec.settingsKey) {
        // One answer of the store may hold several versions of the settings; only the newest is
        // read.
        m_pendingSettings = item;
    } else if (const auto id = withoutPrefix(item.key, m_codec.backendPrefix)) {
        applyBackend(*id, item);
    } else if (const auto domain = withoutPrefix(item.key, m_codec.domainOutPrefix)) {
        LOG4CPLUS_INFO(recordsLog(),
                       "event=domain-out domain=" << logText(*domain)
                                                  << " revision=" << item.revision);
        m_domainsHeldOut.erase(*domain);
        m_directory.setDomainOutOfService(*domain, true);
    } else if (const auto member = withoutPrefix(item.key, m_codec.memberPrefix)) {
        applyMember(*member, item);
    } else {
        m_rollouts.onWritten(item, now);
    }
}

void DiscoveredRecords::applyMember(const MemberId &member, const StoreItem &item)
{
    m_members.onMemberPresent(member);
    Reason reason;
    if (const auto decoded = decodeMember(member, item.value, reason)) {
        m_memberHooks.onMemberPresent(*decoded);
        return;
    }
    LOG4CPLUS_WARN(recordsLog(),
                   "event=member-unreadable member=" << logText(member)
                                                     << " revision=" << item.revision
                                                     << " reason=\"" << reason.text << '"');
    reportUnusable(RecordKind::Vm, 1);
}

void DiscoveredRecords::applyBackend(const BackendServerId &id, const StoreItem &item)
{
    Reason reason;
    std::optional<BackendRecord> record = m_codec.readBackend(id, item.value, reason);
    if (!record) {
        LOG4CPLUS_WARN(recordsLog(),
                       "event=backend-unreadable backend=" << logText(id)
                                                           << " revision=" << item.revision
                                                           << " reason=\"" << reason.text << '"');
        reportUnusable(RecordKind::BackendServer, 1);
    } else {
        LOG4CPLUS_INFO(recordsLog(),
                       "event=backend backend=" << id << " service=" << logText(record->service)
                                                << " address=" << record->address.toString()
                                                << " domain=" << logText(record->failureDomain)
                                                << " leaving=" << record->isLeaving
                                                << " incarnation=" << record->incarnation
                                                << " revision=" << item.revision);
    }
    m_directory.onWritten(id, std::move(record));
}

void DiscoveredRecords::applyRoutes(const StoreItem &item)
{
    Reason reason;
    RouteTablePtr routes = m_codec.readRoutes(item.value, reason);
    const Revision current = m_routes ? m_routes->revision() : 0;
    if (!routes) {
        LOG4CPLUS_ERROR(recordsLog(),
                        "event=settings-unreadable settings=" << current << " revision="
                                                              << item.revision << " reason=\""
                                                              << reason.text << '"');
        reportUnusable(RecordKind::Settings, 1);
        return;
    }
    if (m_requiresNewerSettings && m_routes && routes->revision() <= current) {
        LOG4CPLUS_WARN(recordsLog(),
                       "event=settings-older settings=" << current
                                                        << " offered=" << routes->revision());
        return;
    }
    LOG4CPLUS_INFO(recordsLog(),
                   "event=settings settings=" << routes->revision() << " before=" << current
                                              << " routes=" << routes->routes().size());
    m_routes = std::move(routes);
    m_hooks.onRoutes(m_routes);
}

void DiscoveredRecords::reportUnusable(RecordKind kind, std::size_t count)
{
    if (count > 0 && m_hooks.onUnusable) {
        m_hooks.onUnusable(kind, count);
    }
}

void DiscoveredRecords::onRemoved(const std::string &key, SteadyTime now)
{
    if (const auto id = withoutPrefix(key, m_codec.backendPrefix)) {
        LOG4CPLUS_INFO(recordsLog(), "event=backend-gone backend=" << logText(*id));
        if (m_isListingRestored) {
            m_directory.onOutage(now);
        }
        m_directory.onRemoved(*id, now);
    } else if (const auto domain = withoutPrefix(key, m_codec.domainOutPrefix)) {
        if (m_isListingRestored) {
            m_domainsHeldOut[*domain] = now + m_restoreGrace;
        } else {
            putBackIntoService(*domain);
        }
    } else if (const auto member = withoutPrefix(key, m_codec.memberPrefix)) {
        LOG4CPLUS_INFO(recordsLog(), "event=member-gone member=" << logText(*member));
        m_members.onMemberRemoved(*member, now);
        m_memberHooks.onMemberRemoved(*member);
    } else {
        m_rollouts.onRemoved(key);
    }
}

void DiscoveredRecords::putBackIntoService(const FailureDomain &domain)
{
    LOG4CPLUS_INFO(recordsLog(), "event=domain-back domain=" << logText(domain));
    m_directory.setDomainOutOfService(domain, false);
}

void DiscoveredRecords::expireDomains(SteadyTime now)
{
    for (auto it = m_domainsHeldOut.begin(); it != m_domainsHeldOut.end();) {
        const bool isDue = it->second <= now;
        if (isDue) {
            putBackIntoService(it->first);
        }
        it = isDue ? m_domainsHeldOut.erase(it) : std::next(it);
    }
}

void DiscoveredRecords::publish(SteadyTime now)
{
    expireDomains(now);
    if (m_pendingSettings) {
        applyRoutes(*m_pendingSettings);
        m_pendingSettings.reset();
    }
    m_directory.expire(now);
    std::vector<MemberId> members = m_members.countedMembers(now);
    if (BackendListPtr list = m_directory.list(); list != m_publishedBackends) {
        m_publishedBackends = list;
        m_hooks.onBackends(std::move(list));
    }
    if (members != m_publishedMembers) {
        LOG4CPLUS_INFO(recordsLog(),
                       "event=members count=" << members.size()
                                              << " before=" << m_publishedMembers.size());
        m_publishedMembers = members;
        m_hooks.onMembers(std::move(members));
    }
    if (RolloutTablePtr table = m_rollouts.table(); table != m_publishedRollouts) {
        m_publishedRollouts = table;
        m_hooks.onRollouts(std::move(table));
    }
}

std::optional<SteadyTime> DiscoveredRecords::nextChange() const
{
    std::optional<SteadyTime> next = m_directory.nextExpiry();
    if (const auto change = m_members.nextChange()) {
        next = std::min(next.value_or(*change), *change);
    }
    for (const auto &[domain, heldUntil] : m_domainsHeldOut) {
        next = std::min(next.value_or(heldUntil), heldUntil);
    }
    return next;
}

} // namespace pimentoward
