#pragma once

#include "Pimentoward/Core/Types.h"
#include "Pimentoward/Version/Workspace.h"

#include <functional>

namespace pimentoward {

/// Decides whether a workspace's request may run now within the workspace's rate limit.
class RequestAdmission
{
public:
    struct Decision
    {
        bool isAdmitted = true;
        /// When the caller of a request that is not admitted may send it again.
        Duration retryAfter {};
    };
    using DecisionHook = std::function<void(const Decision &)>;

    virtual ~RequestAdmission() = default;
    /// Decides on one request of `workspace`, which waits at most until `answerBy`. `done` runs
    /// once, inside this call if the decision needs no other VM.
    virtual void admit(const Workspace &workspace, SteadyTime now, SteadyTime answerBy,
                       DecisionHook done)
        = 0;
};

} // namespace pimentoward
