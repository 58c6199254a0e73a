#pragma once

#include "Pimentoward/Version/BackendRecord.h"

#include <deque>
#include <unordered_map>

namespace pimentoward {

/// What a backend server has stated in its replies about new requests.
struct BackendNotice
{
    /// The backend server stops soon. A run never takes this back.
    bool isLeaving = false;
    /// The backend server wants no requests before this time.
    SteadyTime pausedUntil {};
};

/// Remembers the notices of backend servers, each for one run of its server: a server that has
/// started again has stated nothing. Performs no I/O.
///
/// Load pattern: while a backend server stops, its record may be removed and written again, and the
/// store may be unreachable or list the server as in service. A link to it lasts only as long as
/// its record, so the notices are kept apart from the links.
class BackendNotices
{
public:
    /// `maxEntries`: number of backend servers that are remembered; the oldest are forgotten first.
    explicit BackendNotices(std::size_t maxEntries = 10'000);

    void onLeaving(const BackendRecord &record);
    void onPauseRequested(const BackendRecord &record, SteadyTime until);
    /// The notice of the run that `record` describes.
    BackendNotice notice(const BackendRecord &record) const;

private:
    struct Entry
    {
        Address address;
        Incarnation incarnation = 0;
        BackendNotice notice;
    };

    /// The entry of the run that `record` describes. Replaces that of another run.
    Entry &entry(const BackendRecord &record);

    std::size_t m_maxEntries;
    std::unordered_map<BackendServerId, Entry> m_entries;
    /// IDs of all entries, in the order in which they were first added.
    std::deque<BackendServerId> m_order;
};

} // namespace pimentoward
