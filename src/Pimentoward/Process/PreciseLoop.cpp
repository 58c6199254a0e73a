#include "Pimentoward/Process/PreciseLoop.h"

#include <event2/event.h>

#include <csignal>

namespace pimentoward {

event_base *newPreciseLoop()
{
    // libevent writes with writev(), which raises SIGPIPE if the peer has closed the connection.
    std::signal(SIGPIPE, SIG_IGN);
    event_config *config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    event_base *loop = event_base_new_with_config(config);
    event_config_free(config);
    return loop;
}

} // namespace pimentoward
