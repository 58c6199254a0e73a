#pragma once

#include "Pimentoward/Process/Store.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace pimentoward::standins {

/// State of the stand-in platform: a key-value store with compare-and-swap, and the VM list. It is
/// used by the stand-in process and, in tests, by fakes on a virtual clock.
class PlatformStore
{
public:
    using ChangeHook = std::function<void(const std::string &key)>;

    /// Returns the value of a key. A missing key has revision 0.
    StoredValue read(const std::string &key) const;
    std::vector<std::string> keysWithPrefix(const std::string &prefix) const;
    /// Writes the value if the revision of the key equals `expected`.
    WriteOutcome compareAndSwap(const std::string &key, Revision expected,
                                const std::string &value);
    /// Writes the value without a check of the revision, as the platform's own operators can.
    Revision put(const std::string &key, const std::string &value);

    const std::map<MemberId, VmRecord> &vms() const { return m_vms; }
    void putVm(const VmRecord &vm) { m_vms[vm.id] = vm; }
    void removeVm(const MemberId &id) { m_vms.erase(id); }

    /// Sets the hook that runs after each change of a value.
    void onChange(ChangeHook hook) { m_onChange = std::move(hook); }

private:
    std::map<std::string, StoredValue> m_values;
    std::map<MemberId, VmRecord> m_vms;
    Revision m_lastRevision = 0;
    ChangeHook m_onChange = [](const std::string &) {};
};

} // namespace pimentoward::standins
