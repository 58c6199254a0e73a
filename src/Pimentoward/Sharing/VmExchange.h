#pragma once

#include "Pimentoward/Core/Types.h"
#include "Pimentoward/Sharing/SharedSection.h"

#include <functional>
#include <optional>

namespace pimentoward {

/// Carries sections of messages between the VMs of the tier. Sections for the same VM are packed
/// into one message. Must be used from one task only; hooks run on that task.
class VmExchange
{
public:
    /// Receives the other VM's answer, or nothing if none arrived in time.
    using AnswerHook = std::function<void(std::optional<SharedSection>)>;
    /// Makes the answer to a section that the VM `from` has sent; nothing if it has none.
    using Handler
        = std::function<std::optional<SharedSection>(const MemberId &from, const SharedSection &)>;

    virtual ~VmExchange() = default;
    /// Sends `section` to the VM `to`. `done` runs once, at the latest after `timeout`, and never
    /// inside this call.
    virtual void ask(const MemberId &to, SharedSection section, Duration timeout, AnswerHook done)
        = 0;
    /// Sets the handler for the sections of other VMs about `topic`.
    virtual void serve(SharedTopic topic, Handler handler) = 0;
};

} // namespace pimentoward
