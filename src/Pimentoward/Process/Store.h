#pragma once

#include "Pimentoward/Core/Reason.h"
#include "Pimentoward/Core/Types.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace pimentoward {

/// Value of one key in the platform's store. Revision 0 means that the key does not exist.
struct StoredValue
{
    std::string value;
    Revision revision = 0;
};

/// Result of a compare-and-swap.
enum class WriteStatus {
    /// The value was written.
    Committed,
    /// The key has a different revision; nothing was written.
    Conflict,
    /// No usable answer was received: the write may have taken effect.
    Unsure,
    /// Nothing was written, according to the store or because no connection was established.
    Refused
};

/// Result of a compare-and-swap, with the revision of the key.
struct WriteOutcome
{
    WriteStatus status = WriteStatus::Refused;
    /// Revision of the key after the write or, for a Conflict, the revision found. Otherwise 0.
    Revision revision = 0;
};

/// One entry of the platform's VM list.
struct VmRecord
{
    MemberId id;
    /// IPv4 address on which the VM's processes listen.
    std::string host;
    FailureDomain failureDomain;
    /// True if the platform announces that the VM will be removed.
    bool leaving = false;
};

/// Interface of the platform: its key-value store and its VM list. Hooks run on the event loop of
/// the task that made the call, never inside the call. If a read, watch or list fails, its hook
/// receives nullopt and the reason.
class Store
{
public:
    using ReadHook = std::function<void(std::optional<StoredValue>, const Reason &)>;
    using WriteHook = std::function<void(const WriteOutcome &, const Reason &)>;
    using VmListHook = std::function<void(std::optional<std::vector<VmRecord>>, const Reason &)>;
    using KeysHook = std::function<void(std::optional<std::vector<std::string>>, const Reason &)>;

    virtual ~Store() = default;
    /// Reads one key.
    virtual void read(const std::string &key, ReadHook done) = 0;
    /// Lists the names of all keys that begin with `prefix`.
    virtual void list(const std::string &prefix, KeysHook done) = 0;
    /// Writes the value if the key's revision is still `expected`; 0 means that the key must not
    /// exist.
    virtual void compareAndSwap(const std::string &key, Revision expected, const std::string &value,
                                WriteHook done)
        = 0;
    /// Reads one key once its revision is greater than `after`, or after `wait` has passed.
    virtual void watch(const std::string &key, Revision after, std::chrono::milliseconds wait,
                       ReadHook done)
        = 0;
    /// Reads the platform's VM list, which may be out of date.
    virtual void listVms(VmListHook done) = 0;
};

} // namespace pimentoward
