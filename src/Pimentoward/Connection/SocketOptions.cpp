#include "Pimentoward/Connection/SocketOptions.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace pimentoward {

void setLowDelay(int socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

void setUserTimeout(int socket, std::chrono::milliseconds time)
{
    const auto value = static_cast<unsigned>(time.count());
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &value, sizeof(value));
}

} // namespace pimentoward
