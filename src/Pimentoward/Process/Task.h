#pragma once

#include "Pimentoward/Core/Types.h"

#include <functional>
#include <memory>
#include <string>

struct event_base;

namespace pimentoward {

/// A thread with one event loop. It owns its sockets and state; others reach it by post() only.
class Task
{
public:
    using Message = std::function<void()>;

    /// `name` shows in logs and in the operating system's thread list (first 15 letters).
    explicit Task(std::string name);
    /// Stops the loop and joins the thread.
    ~Task();
    Task(const Task &) = delete;
    Task &operator=(const Task &) = delete;

    /// A loop whose timers keep to well below a millisecond. The caller frees it.
    static event_base *newLoop();
    /// Runs `message` on the task's loop. Callable from every thread, in order per sender.
    void post(Message message);
    /// Starts the thread.
    void start();
    /// Ends the loop after the messages posted so far, and joins the thread.
    void stop();
    /// The loop, for objects that the task owns. Use it before start() or on the task only.
    event_base *loop() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace pimentoward
