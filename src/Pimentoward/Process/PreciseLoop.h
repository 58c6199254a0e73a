#pragma once

struct event_base;

namespace pimentoward {

/// A new event loop whose timers follow the precise monotonic clock. libevent's default clock only
/// moves with the kernel's tick (4 ms at 250 Hz), which is too coarse for hedges and deadlines.
/// From then on the process ignores SIGPIPE: a write to a closed connection is an error of that
/// connection only. The caller frees it with event_base_free().
event_base *newPreciseLoop();

} // namespace pimentoward
