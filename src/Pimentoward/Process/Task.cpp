#include "Pimentoward/Process/Task.h"

#include "Pimentoward/Process/PreciseLoop.h"

#include <event2/event.h>
#include <event2/thread.h>
#include <pthread.h>

#include <mutex>
#include <thread>
#include <vector>

namespace pimentoward {

struct Task::State
{
    std::string name;
    event_base *loop = nullptr;
    event *wakeup = nullptr;
    std::mutex mutex;
    std::vector<Message> inbox;
    std::thread thread;
    bool isStopping = false;

    void drainInbox()
    {
        std::vector<Message> messages;
        {
            const std::lock_guard lock(mutex);
            messages.swap(inbox);
        }
        for (const Message &message : messages) {
            message();
        }
        if (const std::lock_guard lock(mutex); isStopping && inbox.empty()) {
            event_base_loopbreak(loop);
        }
    }
};

namespace {

void enableLibeventLocks()
{
    // libevent needs its locks because other threads call event_active().
    static const int result = evthread_use_pthreads();
    static_cast<void>(result);
}

} // namespace

Task::Task(std::string name)
    : m_state(std::make_unique<State>())
{
    enableLibeventLocks();
    m_state->name = std::move(name);
    m_state->loop = newPreciseLoop();
    const auto onWakeup
        = [](evutil_socket_t, short, void *state) { static_cast<State *>(state)->drainInbox(); };
    m_state->wakeup = event_new(m_state->loop, -1, EV_PERSIST, onWakeup, m_state.get());
    event_add(m_state->wakeup, nullptr);
}

Task::~Task()
{
    stop();
    event_free(m_state->wakeup);
    event_base_free(m_state->loop);
}

void Task::post(Message message)
{
    bool wasEmpty = false;
    {
        const std::lock_guard lock(m_state->mutex);
        wasEmpty = m_state->inbox.empty();
        m_state->inbox.push_back(std::move(message));
    }
    // One wakeup is enough for all messages that are posted before the task drains its inbox.
    if (wasEmpty) {
        event_active(m_state->wakeup, EV_READ, 0);
    }
}

void Task::start()
{
    m_state->thread = std::thread([state = m_state.get()] {
        constexpr std::size_t maxThreadNameLength = 15;
        pthread_setname_np(pthread_self(), state->name.substr(0, maxThreadNameLength).c_str());
        event_base_loop(state->loop, EVLOOP_NO_EXIT_ON_EMPTY);
    });
}

void Task::stop()
{
    if (!m_state->thread.joinable()) {
        return;
    }
    {
        const std::lock_guard lock(m_state->mutex);
        m_state->isStopping = true;
    }
    event_active(m_state->wakeup, EV_READ, 0);
    m_state->thread.join();
}

event_base *Task::loop() const
{
    return m_state->loop;
}

} // namespace pimentoward
