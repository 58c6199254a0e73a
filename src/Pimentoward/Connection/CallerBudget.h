#pragma once

#include "Pimentoward/Core/Types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace pimentoward {

/// What one connection of a caller holds at a moment.
struct CallerUsage
{
    enum class Stage {
        /// Open, but no byte of a request has arrived yet.
        Silent,
        /// Kept open between two requests.
        Idle,
        /// A request is arriving. It has not been passed on.
        Receiving,
        /// A request has been passed on and has no reply yet.
        Running,
        /// A part of a reply has not been taken by the caller yet.
        Replying,
        /// The last reply has been written; only the caller's own close is awaited.
        Closing
    };

    Stage stage = Stage::Silent;
    /// Memory that the connection takes, in bytes.
    std::size_t bytes = 0;
    /// Bytes that have been received from the caller and taken by it since the connection opened.
    std::uint64_t progress = 0;
};

/// Bounds the memory and the connections of all callers together, and decides which connection
/// gives way when a bound is exceeded. Must be used from one task only.
///
/// Load pattern: very many callers send large requests at the same time and stop short of their
/// end, or open connections and send nothing, while other callers send ordinary requests.
///
/// Requests that arrive slower than a least rate give way first, the largest of them before the
/// others; then the one that began last, so that those that are nearly complete come to their end.
/// A request that was passed on never gives way before its reply. Large requests and replies
/// together leave a share of the memory to small ones.
class CallerBudget
{
public:
    using ConnectionId = std::uint64_t;

    /// 0 means no limit.
    struct Settings
    {
        /// Maximum memory of all connections together, in bytes.
        std::size_t bytes = 0;
        /// Maximum number of descriptors that callers and backend servers use together.
        std::size_t descriptors = 0;
    };

    /// A limit that can make a connection give way.
    enum class Limit { Memory, LargeRequests, Connections };

    struct Choice
    {
        ConnectionId connection = 0;
        Limit limit = Limit::Memory;
        CallerUsage usage;
    };

    /// Memory that an open connection takes without any request.
    static constexpr std::size_t connectionBytes = 4096;
    /// A connection that holds more than this is large.
    static constexpr std::size_t largeBytes = 32'768;
    /// A request or reply that progresses slower than this, in bytes per second, gives way first.
    static constexpr double leastRate = 16'384;
    /// Time over which the rate of a request is measured.
    static constexpr std::chrono::milliseconds requestRateWindow {500};
    /// Time over which the rate of a reply is measured. It is longer, because a reply that is cut
    /// is lost, while a request that is refused can be sent again.
    static constexpr std::chrono::milliseconds replyRateWindow {2000};

    explicit CallerBudget(const Settings &settings)
        : m_settings(settings)
    { }

    bool isLimited() const { return m_settings.bytes != 0 || m_settings.descriptors != 0; }
    /// Adds a connection, or replaces what it holds.
    void update(ConnectionId connection, const CallerUsage &usage, SteadyTime now);
    void remove(ConnectionId connection);

    /// Returns the connection that has to give way next, or nothing if the memory is within its
    /// limit or only requests that were passed on remain.
    std::optional<Choice> nextToGiveWay(SteadyTime now) const;
    /// True if one more connection may be accepted while `backendConnections` are open to backend
    /// servers.
    bool mayAccept(std::size_t backendConnections) const;
    /// Returns the connection that is closed to make room for a new one: the one that has been
    /// without progress for the longest time, among those that wait for their end, then those with
    /// a part of a request, then those without any request, then those that are kept for the next
    /// one. Returns nothing if requests are running or being answered on all connections.
    std::optional<Choice> nextToClose() const;

    /// Memory of all connections together, in bytes.
    std::size_t bytes() const { return m_bytes; }
    /// Returns the name of a limit in log lines and metrics.
    static const char *name(Limit limit);

private:
    struct Entry
    {
        CallerUsage usage;
        /// When the current stage began.
        SteadyTime since {};
        SteadyTime lastProgressAt {};
        /// Begin of the time over which the rate is measured, and the progress at that time.
        SteadyTime rateSince {};
        std::uint64_t rateProgress = 0;
    };
    using Entries = std::unordered_map<ConnectionId, Entry>;

    void charge(const Entry &entry);
    void release(const Entry &entry);
    static bool isLarge(const Entry &entry) { return entry.usage.bytes > largeBytes; }
    static bool isSlow(const Entry &entry, Duration window, SteadyTime now);
    std::size_t maxLargeBytes() const;
    /// Returns the largest slow connection in `stage`; if `onlyLarge` is set, among large ones.
    const Entries::value_type *largestSlow(CallerUsage::Stage stage, Duration window,
                                           bool onlyLarge, SteadyTime now) const;
    /// Returns the request that began to arrive last, among large ones if there are any.
    const Entries::value_type *newestRequest(bool onlyLarge) const;

    Settings m_settings;
    Entries m_entries;
    std::size_t m_bytes = 0;
    /// Memory of the large connections.
    std::size_t m_largeBytes = 0;
};

} // namespace pimentoward
