#pragma once

#include "Pimentoward/Core/Types.h"

#include <map>
#include <set>

namespace pimentoward {

/// Backend servers that this VM has stopped to own: tells which of them have no work of this VM any
/// more, so that a handover need not wait for the longest dispatch.
class ReleasedServers
{
public:
    /// A view was published that lets this VM dispatch to `owned` only.
    void onPublished(std::uint64_t sequence, const std::set<BackendServerId> &owned);
    /// The query task has taken the view `sequence`; work may still run at `busy`.
    void onReport(std::uint64_t sequence, const std::set<BackendServerId> &busy);
    /// True where the query task was told to dispatch no more to `id`, took that in, and has
    /// nothing at work there.
    bool isIdle(const BackendServerId &id) const;
    /// True while a report could make another backend server quiet.
    bool needsReport() const;

private:
    std::set<BackendServerId> m_owned;
    /// The first view in which a backend server was not owned any more.
    std::map<BackendServerId, std::uint64_t> m_releasedIn;
    std::set<BackendServerId> m_idle;
};

} // namespace pimentoward
