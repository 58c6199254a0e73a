#include "Pimentoward/Process/MembershipDump.h"

#include "Pimentoward/Process/Membership.h"

#include <nlohmann/json.hpp>

namespace pimentoward {

namespace {

/// Returns the milliseconds since `time`, or null if `time` is not set.
nlohmann::json millisSince(SteadyTime time, SteadyTime now)
{
    if (time == SteadyTime {}) {
        return nullptr;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - time).count();
}

nlohmann::json membersDump(const Membership &membership, SteadyTime now)
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[id, member] : membership.list().record().members) {
        nlohmann::json entry {{"id", id},
                              {"host", member.host},
                              {"failureDomain", member.failureDomain},
                              {"alive", membership.peers().isAlive(id)}};
        if (const auto *peer = membership.peers().find(id)) {
            entry["epoch"] = peer->epoch;
            entry["settingsRevision"] = peer->settingsRevision;
            entry["leaving"] = peer->leaving;
            entry["owned"] = peer->owned.size();
            entry["heardMillisAgo"] = millisSince(peer->heardAt, now);
            entry["echoMillisAgo"] = millisSince(membership.contact().lastEcho(id), now);
        }
        list.push_back(std::move(entry));
    }
    return list;
}

} // namespace

nlohmann::json membershipDump(const Membership &membership, SteadyTime now)
{
    return {{"epoch", membership.list().epoch()},
            {"ready", membership.isReady()},
            {"leaving", membership.isLeaving()},
            {"contact", now < membership.contactUntil(now)},
            {"owned", membership.ownedUntil(now).size()},
            {"unowned", membership.unownedCount(now)},
            {"granted", membership.grants().grantedCount(now)},
            {"members", membersDump(membership, now)}};
}

} // namespace pimentoward
