// The part of Discovery that tells others of the VMs of the tier.

#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Discovery/Discovery.h"

#include <utility>

namespace pimentoward {

DiscoveredRecords::Hooks Discovery::observed(DiscoveredRecords::Hooks hooks)
{
    DiscoveredRecords::Hooks result = hooks;
    result.onBackends = [this, next = std::move(hooks.onBackends)](const BackendListPtr &list) {
        m_rolloutWriter.changeBackends(list);
        next(list);
    };
    result.onMembers
        = [this, next = std::move(hooks.onMembers)](const std::vector<MemberId> &members) {
              m_rolloutWriter.changeMembers(members);
              next(members);
          };
    result.onRollouts = [this, next = std::move(hooks.onRollouts)](const RolloutTablePtr &table) {
        m_rolloutWriter.changeRollouts(table);
        if (next) {
            next(table);
        }
    };
    return result;
}

void Discovery::listMembers(const std::string &after)
{
    m_store.range(m_records.codec().memberPrefix, after,
                  [this](const std::optional<StorePage> &page, const StoreFailure &failure) {
                      if (!page) {
                          LOG4CPLUS_WARN(Log::part("discovery"),
                                         "event=no-census reason=\"" << failure.text << '"');
                          return;
                      }
                      for (const StoreItem &item : page->items) {
                          m_records.applyMember(
                              item.key.substr(m_records.codec().memberPrefix.size()), item);
                      }
                      if (page->hasMore && !page->items.empty()) {
                          listMembers(page->items.back().key);
                      }
                  });
}

void Discovery::onMemberPresent(const FeedChooser::Member &member)
{
    m_chooser.onMemberPresent(member);
    m_vms[member.id] = member;
    m_haveVmsChanged = true;
}

void Discovery::onMemberRemoved(const MemberId &member)
{
    m_vms.erase(member);
    m_haveVmsChanged = true;
    m_chooser.onMemberRemoved(member);
}

void Discovery::publishVms()
{
    const bool isConfirmed = m_upToDateAt > m_vmView.confirmedAt;
    if (!m_onVms || !m_mirror.isComplete() || (!isConfirmed && !m_haveVmsChanged)) {
        return;
    }
    if (std::exchange(m_haveVmsChanged, false)) {
        std::vector<FeedChooser::Member> list;
        for (const auto &[id, vm] : m_vms) {
            list.push_back(vm);
        }
        m_vmView.vms = std::make_shared<const std::vector<FeedChooser::Member>>(std::move(list));
    }
    m_vmView.confirmedAt = m_upToDateAt;
    m_onVms(m_vmView);
}

} // namespace pimentoward
