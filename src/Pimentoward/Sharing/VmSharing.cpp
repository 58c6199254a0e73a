#include "Pimentoward/Sharing/VmSharing.h"

#include "Pimentoward/Core/Log.h"

#include <algorithm>

namespace pimentoward {

namespace {

HttpVmExchange::Settings exchangeSettings(const MemberId &self)
{
    HttpVmExchange::Settings settings;
    settings.self = self;
    return settings;
}

RateAdmission::Settings admissionSettings(const VmSharingSettings &settings, const MemberId &self)
{
    RateAdmission::Settings admission;
    admission.self = self;
    admission.tolerance = settings.rateTolerance;
    admission.granter = settings.granter;
    return admission;
}

} // namespace

VmSharing::VmSharing(event_base *loop, const VmSharingSettings &settings, const MemberId &self,
                     Metrics &metrics)
    : m_settings(settings)
    , m_exchange(loop, exchangeSettings(self))
    , m_admission(admissionSettings(settings, self), m_exchange, metrics)
{ }

RequestAdmission *VmSharing::changeWorkspaces(const WorkspaceTable &workspaces)
{
    const std::vector<Workspace> &list = workspaces.workspaces();
    const bool hasLimits = std::any_of(list.begin(), list.end(), [](const Workspace &workspace) {
        return workspace.limit.isLimited();
    });
    if (!m_settings.listen || (!hasLimits && !m_hasLimits)) {
        return nullptr;
    }
    listen();
    const bool isFirst = !std::exchange(m_hasLimits, true);
    m_admission.changeWorkspaces(list, std::chrono::steady_clock::now());
    if (isFirst && m_view.vms) {
        applyVms();
    }
    return &m_admission;
}

void VmSharing::listen()
{
    if (m_isListening || !m_settings.listen) {
        return;
    }
    m_isListening = true;
    Reason reason;
    if (!m_exchange.listen(*m_settings.listen, reason)) {
        // Other VMs then do without this one; it goes on asking them.
        LOG4CPLUS_ERROR(Log::part("sharing"),
                        "event=exchange-not-listening address="
                            << m_settings.listen->toString() << " reason=\"" << reason.text << '"');
    }
}

void VmSharing::changeVms(const VmView &view)
{
    const bool isOther = view.vms != m_view.vms;
    m_view = view;
    if (isOther && m_settings.listen) {
        applyVms();
    }
    m_admission.onViewConfirmed(view.confirmedAt, std::chrono::steady_clock::now());
}

void VmSharing::applyVms()
{
    std::vector<MemberId> names;
    std::map<MemberId, Address> addresses;
    for (const FeedChooser::Member &vm : *m_view.vms) {
        names.push_back(vm.id);
        addresses[vm.id] = {vm.address.host, m_settings.listen->port};
    }
    m_exchange.changeVms(std::move(addresses));
    m_admission.changeVms(std::move(names), std::chrono::steady_clock::now());
}

} // namespace pimentoward
