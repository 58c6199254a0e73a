#pragma once

struct event_base;

namespace pimentoward {

/// Creates an event loop whose timers use the precise monotonic clock. libevent's default clock
/// advances only with the kernel's tick (4 ms at 250 Hz), which is too coarse for hedges and
/// deadlines. The process ignores SIGPIPE after this call, so that a write to a closed connection
/// is only an error of that connection. The loop must be freed with event_base_free().
event_base *newPreciseLoop();

} // namespace pimentoward
