#pragma once

#include "Pimentoward/Core/Types.h"

#include <map>
#include <set>

namespace pimentoward {

/// Tracks the backend servers that this VM no longer owns, and which of them are no longer
/// processing work of this VM. The handover of an idle backend server need not wait for the maximum
/// dispatch time.
class ReleasedServers
{
public:
    /// Must be called when the view `sequence` was published, which permits dispatching to `owned`
    /// only.
    void onPublished(std::uint64_t sequence, const std::set<BackendServerId> &owned);
    /// Must be called when the query task reports that it uses the view `sequence` and that the
    /// backend servers in `busy` may still be processing work of this VM.
    void onReport(std::uint64_t sequence, const std::set<BackendServerId> &busy);
    /// True if the query task has reported that it uses a view that no longer permits dispatching
    /// to `id`, and that it has no work in progress there.
    bool isIdle(const BackendServerId &id) const;
    /// True while a report could show that another backend server is idle.
    bool needsReport() const;

private:
    std::set<BackendServerId> m_owned;
    /// For each released backend server, the first view in which it was no longer owned.
    std::map<BackendServerId, std::uint64_t> m_releasedIn;
    std::set<BackendServerId> m_idle;
};

} // namespace pimentoward
