#include "Pimentoward/Connection/CallerBudget.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace pimentoward {

namespace {

using Stage = CallerUsage::Stage;

/// Share of the memory that large requests and replies may take together.
constexpr double largeShare = 0.75;
/// Share of the memory that connections may take without any request.
constexpr double connectionShare = 0.5;
/// Descriptors that are kept for the other addresses of this VM and for its links to the store and
/// to other VMs.
constexpr std::size_t ownDescriptors = 64;
/// Share of the descriptors that is kept for connections to backend servers.
constexpr double backendShare = 0.25;
/// Further connections to backend servers that can be opened at any time.
constexpr std::size_t spareBackendConnections = 32;

/// Returns the position of a stage in the order in which connections are closed, or nothing if a
/// connection in this stage must stay open.
std::optional<std::size_t> closingRank(Stage stage)
{
    constexpr std::array order {Stage::Closing, Stage::Receiving, Stage::Silent, Stage::Idle};
    const auto *found = std::find(order.begin(), order.end(), stage);
    if (found == order.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - order.begin());
}

std::size_t shareOf(std::size_t total, double share)
{
    return static_cast<std::size_t>(static_cast<double>(total) * share);
}

} // namespace

void CallerBudget::charge(const Entry &entry)
{
    m_bytes += entry.usage.bytes;
    m_largeBytes += isLarge(entry) ? entry.usage.bytes : 0;
}

void CallerBudget::release(const Entry &entry)
{
    m_bytes -= entry.usage.bytes;
    m_largeBytes -= isLarge(entry) ? entry.usage.bytes : 0;
}

void CallerBudget::update(ConnectionId connection, const CallerUsage &usage, SteadyTime now)
{
    const auto [found, isNew] = m_entries.try_emplace(connection);
    Entry &entry = found->second;
    if (!isNew) {
        release(entry);
    }
    if (isNew || entry.usage.stage != usage.stage) {
        entry.since = now;
        entry.lastProgressAt = now;
        entry.rateSince = now;
        entry.rateProgress = usage.progress;
    } else if (entry.usage.progress != usage.progress) {
        entry.lastProgressAt = now;
    }
    entry.usage = usage;
    charge(entry);
    if (now - entry.rateSince >= requestRateWindow && !isSlow(entry, requestRateWindow, now)) {
        entry.rateSince = now;
        entry.rateProgress = usage.progress;
    }
}

void CallerBudget::remove(ConnectionId connection)
{
    if (const auto found = m_entries.find(connection); found != m_entries.end()) {
        release(found->second);
        m_entries.erase(found);
    }
}

bool CallerBudget::isSlow(const Entry &entry, Duration window, SteadyTime now)
{
    const Duration elapsed = now - entry.rateSince;
    const auto progress = static_cast<double>(entry.usage.progress - entry.rateProgress);
    const double seconds = std::chrono::duration<double>(elapsed).count();
    return elapsed >= window && progress < leastRate * seconds;
}

std::size_t CallerBudget::maxLargeBytes() const
{
    return shareOf(m_settings.bytes, largeShare);
}

const CallerBudget::Entries::value_type *
CallerBudget::largestSlow(Stage stage, Duration window, bool onlyLarge, SteadyTime now) const
{
    const Entries::value_type *largest = nullptr;
    for (const auto &candidate : m_entries) {
        const Entry &entry = candidate.second;
        const bool isCandidate = entry.usage.stage == stage && (!onlyLarge || isLarge(entry))
            && isSlow(entry, window, now);
        if (isCandidate
            && (largest == nullptr || entry.usage.bytes > largest->second.usage.bytes)) {
            largest = &candidate;
        }
    }
    return largest;
}

const CallerBudget::Entries::value_type *CallerBudget::newestRequest(bool onlyLarge) const
{
    const auto key = [](const Entries::value_type &candidate) {
        return std::make_tuple(isLarge(candidate.second), candidate.second.since, candidate.first);
    };
    const Entries::value_type *newest = nullptr;
    for (const auto &candidate : m_entries) {
        const bool isCandidate = candidate.second.usage.stage == Stage::Receiving
            && (!onlyLarge || isLarge(candidate.second));
        if (isCandidate && (newest == nullptr || key(candidate) > key(*newest))) {
            newest = &candidate;
        }
    }
    return newest;
}

std::optional<CallerBudget::Choice> CallerBudget::nextToGiveWay(SteadyTime now) const
{
    const bool isFull = m_bytes > m_settings.bytes;
    if (m_settings.bytes == 0 || (!isFull && m_largeBytes <= maxLargeBytes())) {
        return std::nullopt;
    }
    const bool onlyLarge = !isFull;
    const auto *chosen = largestSlow(Stage::Receiving, requestRateWindow, onlyLarge, now);
    if (chosen == nullptr) {
        chosen = newestRequest(onlyLarge);
    }
    if (chosen == nullptr && isFull) {
        chosen = largestSlow(Stage::Replying, replyRateWindow, false, now);
    }
    if (chosen == nullptr) {
        return std::nullopt;
    }
    return Choice {chosen->first, isFull ? Limit::Memory : Limit::LargeRequests,
                   chosen->second.usage};
}

bool CallerBudget::mayAccept(std::size_t backendConnections) const
{
    const std::size_t count = m_entries.size();
    if (m_settings.bytes != 0
        && (count + 1) * connectionBytes > shareOf(m_settings.bytes, connectionShare)) {
        return false;
    }
    if (m_settings.descriptors == 0) {
        return true;
    }
    const std::size_t kept = ownDescriptors
        + std::max(shareOf(m_settings.descriptors, backendShare),
                   backendConnections + spareBackendConnections);
    return count + 1 + kept <= m_settings.descriptors;
}

std::optional<CallerBudget::Choice> CallerBudget::nextToClose() const
{
    const auto key = [](const Entries::value_type &candidate) {
        return std::make_tuple(closingRank(candidate.second.usage.stage),
                               candidate.second.lastProgressAt, candidate.first);
    };
    const Entries::value_type *first = nullptr;
    for (const auto &candidate : m_entries) {
        const bool mayClose = closingRank(candidate.second.usage.stage).has_value();
        if (mayClose && (first == nullptr || key(candidate) < key(*first))) {
            first = &candidate;
        }
    }
    if (first == nullptr) {
        return std::nullopt;
    }
    return Choice {first->first, Limit::Connections, first->second.usage};
}

const char *CallerBudget::name(Limit limit)
{
    switch (limit) {
    case Limit::Memory:
        return "caller-memory";
    case Limit::LargeRequests:
        return "large-requests";
    case Limit::Connections:
        return "caller-connections";
    }
    return "";
}

} // namespace pimentoward
