#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace pimentoward {

/// A point in time on the process's monotonic clock. It is never sent to another process.
using SteadyTime = std::chrono::steady_clock::time_point;
/// A point in wall-clock time, used only by IndexSchedule and for the expiry of idempotency keys.
using WallTime = std::chrono::system_clock::time_point;
/// The resolution of all time calculations.
using Duration = std::chrono::nanoseconds;

/// Returns `factor` times `time`.
inline Duration scaled(Duration time, double factor)
{
    return std::chrono::duration_cast<Duration>(time * factor);
}

/// Name of one VM of the tier, as it appears in the platform's VM list.
using MemberId = std::string;
/// Name of one backend server, unique across all services.
using BackendServerId = std::string;
/// Name of one shard, unique within one version of a service's shard map.
using ShardName = std::string;
/// Name under which callers query a set of shards.
using ServiceName = std::string;
/// Version of the software that a backend server runs.
using SoftwareVersion = std::string;
/// Name of one failure domain.
using FailureDomain = std::string;
/// Identifier of one caller request, unique across all VMs and restarts.
using RequestId = std::string;

/// Number of an index version; a higher number is newer.
using IndexVersion = std::uint64_t;
/// Number of a member list; rises by one with each change.
using Epoch = std::uint64_t;
/// Number of a settings document or store value; 0 means "absent".
using Revision = std::uint64_t;
/// Number of one run of a process or backend server; each restart gets a new one.
using Incarnation = std::uint64_t;

} // namespace pimentoward
