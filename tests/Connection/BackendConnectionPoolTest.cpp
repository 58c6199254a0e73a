#include "Pimentoward/Connection/BackendConnectionPool.h"
#include "Pimentoward/Core/SystemClock.h"

#include <catch2/catch.hpp>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <unistd.h>

#include <map>

using namespace pimentoward;
using namespace std::chrono_literals;

namespace {

constexpr const char *kinds[] = {"quick", "late", "half", "never", "twice", "cut"};

/// A server that misbehaves as the path of each request asks for. The body names the request.
class BadServer
{
public:
    explicit BadServer(event_base *loop)
        : m_loop(loop)
    {
        sockaddr_in any {};
        any.sin_family = AF_INET;
        any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        m_listener
            = evconnlistener_new_bind(loop, &BadServer::onAccept, this, LEV_OPT_CLOSE_ON_FREE, -1,
                                      reinterpret_cast<sockaddr *>(&any), sizeof(any));
        socklen_t size = sizeof(any);
        getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr *>(&any), &size);
        m_port = ntohs(any.sin_port);
    }
    ~BadServer()
    {
        for (const auto &[stream, timer] : m_streams) {
            bufferevent_free(stream);
        }
        evconnlistener_free(m_listener);
    }
    BadServer(const BadServer &) = delete;
    BadServer &operator=(const BadServer &) = delete;

    Address address() const { return {"127.0.0.1", m_port}; }
    std::size_t mostConnections() const { return m_most; }

private:
    static void onAccept(evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *self)
    {
        auto *server = static_cast<BadServer *>(self);
        bufferevent *stream = bufferevent_socket_new(server->m_loop, socket, BEV_OPT_CLOSE_ON_FREE);
        server->m_streams[stream] = nullptr;
        server->m_most = std::max(server->m_most, server->m_streams.size());
        bufferevent_setcb(stream, &BadServer::onReadable, nullptr, &BadServer::onEvent, self);
        bufferevent_enable(stream, EV_READ | EV_WRITE);
    }

    static void onEvent(bufferevent *stream, short, void *self)
    {
        static_cast<BadServer *>(self)->m_streams.erase(stream);
        bufferevent_free(stream);
    }

    static void onReadable(bufferevent *stream, void *self)
    {
        evbuffer *input = bufferevent_get_input(stream);
        std::string text(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, text.data(), text.size());
        // "GET /KIND/NUMBER HTTP/1.1"
        const std::size_t second = text.find('/', 5);
        const std::string kind = text.substr(5, second - 5);
        const std::string number = text.substr(second + 1, text.find(' ', second) - second - 1);
        static_cast<BadServer *>(self)->answer(stream, kind, number);
    }

    void answer(bufferevent *stream, const std::string &kind, const std::string &number)
    {
        const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: "
            + std::to_string(number.size()) + "\r\n\r\n" + number;
        const auto write = [stream](const std::string &text) {
            bufferevent_write(stream, text.data(), text.size());
        };
        if (kind == "quick") {
            write(whole);
        } else if (kind == "twice") {
            write(whole + whole);
        } else if (kind == "half") {
            write(whole.substr(0, whole.size() - 1));
        } else if (kind == "late") {
            m_streams[stream] = std::make_unique<Timer>(m_loop, [=] { write(whole); });
            m_streams[stream]->startOnce(30ms);
        } else if (kind == "cut") {
            m_streams.erase(stream);
            bufferevent_free(stream);
        }
    }

    event_base *m_loop;
    evconnlistener *m_listener = nullptr;
    std::uint16_t m_port = 0;
    std::map<bufferevent *, std::unique_ptr<Timer>> m_streams;
    std::size_t m_most = 0;
};

struct Ended
{
    int times = 0;
    std::optional<HttpAnswer> answer;
    ResultCode code = ResultCode::Ok;
};

} // namespace

TEST_CASE("A late, half or doubled answer never meets the next call", "[connection][task]")
{
    constexpr int calls = 240;
    event_base *loop = event_base_new();
    {
        const SystemClock clock;
        BadServer server(loop);
        ConnectionBudget::Settings budget;
        budget.slots = 4;
        budget.connections = 30;
        BackendConnectionPool pool(loop, clock, server.address(), budget, [] {});
        std::vector<Ended> ended(calls);
        int left = calls;
        int mostConnections = 0;
        for (int number = 0; number < calls; ++number) {
            HttpCall call;
            call.target
                = "/" + std::string(kinds[number % 6]) + "/" + std::to_string(number + 1000);
            call.timeout = number % 6 == 0 ? 5s : std::chrono::seconds(0) + 15ms;
            pool.send([call](Reason &) { return call; }, clock.now() + 30s,
                      [&, number](const std::optional<HttpAnswer> &answer, const Reason &reason) {
                          mostConnections = std::max(mostConnections, pool.connections());
                          ended[number].times += 1;
                          ended[number].answer = answer;
                          ended[number].code = reason.code;
                          if (--left == 0) {
                              event_base_loopbreak(loop);
                          }
                      });
        }
        event_base_dispatch(loop);
        for (int number = 0; number < calls; ++number) {
            CAPTURE(number, kinds[number % 6], ended[number].code);
            CHECK(ended[number].times == 1);
            if (ended[number].answer) {
                CHECK(ended[number].answer->body == std::to_string(number + 1000));
            } else {
                // Each of them may have been run.
                CHECK(number % 6 != 0);
                CHECK_FALSE(promisesNotRun(ended[number].code));
            }
        }
        CHECK(mostConnections <= 6);
    }
    event_base_free(loop);
}

TEST_CASE("A call without a connection in time has not run", "[connection][task]")
{
    event_base *loop = event_base_new();
    {
        const SystemClock clock;
        BadServer server(loop);
        ConnectionBudget::Settings budget;
        budget.connections = 2;
        BackendConnectionPool pool(loop, clock, server.address(), budget, [] {});
        HttpCall call;
        call.target = "/never/1";
        call.timeout = 200ms;
        ResultCode code = ResultCode::Ok;
        pool.send([call](Reason &) { return call; }, clock.now() + 1s, [](const auto &, auto &) {});
        pool.send([call](Reason &) { return call; }, clock.now() + 20ms,
                  [&](const auto &, const Reason &reason) {
                      code = reason.code;
                      event_base_loopbreak(loop);
                  });
        event_base_dispatch(loop);
        CHECK(code == ResultCode::NotRunOverloaded);
        CHECK(server.mostConnections() <= 1);
    }
    event_base_free(loop);
}
