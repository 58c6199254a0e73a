#pragma once

#include "Pimentoward/Core/Reason.h"
#include "Pimentoward/Core/Types.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace pimentoward {

/// A value of the platform's store. Revision 0 means that the key is absent.
struct StoredValue
{
    std::string value;
    Revision revision = 0;
};

/// How a compare-and-swap ended.
enum class WriteStatus {
    Committed,
    /// Another value stands there; nothing was written.
    Conflict,
    /// No answer came, or it was lost: the write may have taken effect.
    Unsure,
    /// The store said, or the connection shows, that nothing was written.
    Refused
};

struct WriteOutcome
{
    WriteStatus status = WriteStatus::Refused;
    /// The key's revision after the write, or the one in the way of a Conflict.
    Revision revision = 0;
};

/// One row of the platform's VM list.
struct VmRecord
{
    MemberId id;
    /// IPv4 number on which the VM's processes listen.
    std::string host;
    FailureDomain failureDomain;
    /// True where the platform announces that the VM will go.
    bool leaving = false;
};

/// The platform: its key-value store and its VM list. Hooks run on the loop of the caller's task,
/// never inside the call.
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
    /// Names of all keys that begin with `prefix`.
    virtual void list(const std::string &prefix, KeysHook done) = 0;
    /// Writes where the key's revision is still `expected` (0: the key is absent).
    virtual void compareAndSwap(const std::string &key, Revision expected, const std::string &value,
                                WriteHook done)
        = 0;
    /// Answers once the key's revision is above `after`, or with the unchanged value after `wait`.
    virtual void watch(const std::string &key, Revision after, std::chrono::milliseconds wait,
                       ReadHook done)
        = 0;
    /// The platform's VM list, which may lag.
    virtual void listVms(VmListHook done) = 0;
};

} // namespace pimentoward
