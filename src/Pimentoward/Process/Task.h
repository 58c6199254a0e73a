#pragma once

#include "Pimentoward/Core/Types.h"

#include <functional>
#include <memory>
#include <string>

struct event_base;

namespace pimentoward {

/// A thread that runs one event loop. Sockets and state of a task are used on its thread only;
/// other threads communicate with it through post().
class Task
{
public:
    using Message = std::function<void()>;

    /// `name` appears in the operating system's thread list, cut to 15 characters.
    explicit Task(std::string name);
    /// Stops the loop and joins the thread.
    ~Task();
    Task(const Task &) = delete;
    Task &operator=(const Task &) = delete;

    /// Runs `message` on the task's loop. May be called from any thread; messages of one thread run
    /// in the order in which they were posted.
    void post(Message message);
    /// Starts the thread.
    void start();
    /// Runs the messages that have been posted, then ends the loop and joins the thread.
    void stop();
    /// Returns the loop, for objects that the task owns. Must be used only before start() or on the
    /// task's thread.
    event_base *loop() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace pimentoward
