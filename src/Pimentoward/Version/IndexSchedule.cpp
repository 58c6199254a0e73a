#include "Pimentoward/Version/IndexSchedule.h"

#include <algorithm>
#include <tuple>

namespace pimentoward {

namespace {

bool isVersionNumber(const std::string &text)
{
    constexpr std::size_t maxDigits = 19; // any number of 19 digits fits into 64 bits
    return !text.empty() && text.size() <= maxDigits
        && text.find_first_not_of("0123456789") == std::string::npos
        && (text.size() == 1 || text.front() != '0');
}

bool validate(const ScheduleEntry &entry, Reason &reason)
{
    const auto refuse = [&](const std::string &problem) {
        reason = {ResultCode::InvalidMessage, "schedule entry '" + entry.id + "' " + problem};
        return false;
    };
    if (entry.id.empty()) {
        return refuse("has no id");
    }
    if (entry.target.empty()) {
        return refuse("has no target");
    }
    if (entry.kind == ScheduleEntry::Kind::VersionRelease && !isVersionNumber(entry.target)) {
        return refuse("must have a version number as its target");
    }
    if (entry.until && *entry.until <= entry.from) {
        return refuse("must end after it begins");
    }
    return true;
}

} // namespace

bool ScheduleEntry::operator==(const ScheduleEntry &other) const
{
    return std::tie(id, change, kind, target, from, until, withdrawn)
        == std::tie(other.id, other.change, other.kind, other.target, other.from, other.until,
                    other.withdrawn);
}

std::optional<IndexSchedule> IndexSchedule::build(const std::vector<ScheduleEntry> &entries,
                                                  Reason &reason)
{
    std::map<std::string, const ScheduleEntry *> latest;
    for (const ScheduleEntry &entry : entries) {
        if (!validate(entry, reason)) {
            return std::nullopt;
        }
        const ScheduleEntry *&known = latest[entry.id];
        if (known != nullptr && known->change == entry.change && !(*known == entry)) {
            reason = {ResultCode::InvalidMessage,
                      "schedule entry '" + entry.id
                          + "' comes twice with different content and the " + "same change number"};
            return std::nullopt;
        }
        if (known == nullptr || known->change < entry.change) {
            known = &entry;
        }
    }
    IndexSchedule schedule;
    for (const auto &[id, entry] : latest) {
        schedule.m_byTarget[{entry->kind, entry->target}].push_back(*entry);
    }
    return schedule;
}

std::optional<bool> IndexSchedule::isReleased(IndexVersion version, WallTime time) const
{
    return isWithinAny(Kind::VersionRelease, std::to_string(version), time);
}

bool IndexSchedule::canAcceptNewWork(const BackendServerId &backendServer,
                                     const FailureDomain &failureDomain, WallTime time) const
{
    return isWithinAny(Kind::BackendServerInService, backendServer, time).value_or(true)
        && !isWithinAny(Kind::FailureDomainOut, failureDomain, time).value_or(false);
}

std::vector<ScheduleEntry> IndexSchedule::entries() const
{
    std::vector<ScheduleEntry> all;
    for (const auto &[target, entries] : m_byTarget) {
        all.insert(all.end(), entries.begin(), entries.end());
    }
    return all;
}

std::optional<bool> IndexSchedule::isWithinAny(Kind kind, const std::string &target,
                                               WallTime time) const
{
    const auto found = m_byTarget.find({kind, target});
    if (found == m_byTarget.end()) {
        return std::nullopt;
    }
    const auto &entries = found->second;
    // A backend server or failure domain whose entries are all withdrawn is treated as if it had no
    // entry. A version whose entries are all withdrawn is not released.
    const bool areAllWithdrawn
        = std::all_of(entries.begin(), entries.end(), [](const auto &e) { return e.withdrawn; });
    if (areAllWithdrawn && kind != Kind::VersionRelease) {
        return std::nullopt;
    }
    return std::any_of(entries.begin(), entries.end(),
                       [&](const auto &e) { return !e.withdrawn && e.contains(time); });
}

} // namespace pimentoward
