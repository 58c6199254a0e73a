#pragma once

#include "Pimentoward/Process/PreciseLoop.h"

#include <event2/event.h>

#include <memory>

/// An event loop that is freed when it goes out of scope.
using LoopPtr = std::unique_ptr<event_base, decltype(&event_base_free)>;

inline LoopPtr newLoop()
{
    return {pimentoward::newPreciseLoop(), &event_base_free};
}
