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

constexpr const char *behaviours[] = {"quick", "late", "half", "never", "twice", "cut"};

/// A server whose behaviour, correct or faulty, is selected by the path of each request. The body
/// of an answer is the number of its request.
class FaultyServer
{
public:
    explicit FaultyServer(event_base *loop)
        : m_loop(loop)
    {
        sockaddr_in any {};
        any.sin_family = AF_INET;
        any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        m_listener
            = evconnlistener_new_bind(loop, &FaultyServer::onAccept, this, LEV_OPT_CLOSE_ON_FREE,
                                      -1, reinterpret_cast<sockaddr *>(&any), sizeof(any));
        socklen_t size = sizeof(any);
        getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr *>(&any), &size);
        m_port = ntohs(any.sin_port);
    }
    ~FaultyServer()
    {
        for (const auto &[stream, timer] : m_streams) {
            bufferevent_free(stream);
        }
        evconnlistener_free(m_listener);
    }
    FaultyServer(const FaultyServer &) = delete;
    FaultyServer &operator=(const FaultyServer &) = delete;

    Address address() const { return {"127.0.0.1", m_port}; }
    std::size_t maxConnections() const { return m_maxConnections; }

private:
    static void onAccept(evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *self)
    {
        auto *server = static_cast<FaultyServer *>(self);
        bufferevent *stream = bufferevent_socket_new(server->m_loop, socket, BEV_OPT_CLOSE_ON_FREE);
        server->m_streams[stream] = nullptr;
        server->m_maxConnections = std::max(server->m_maxConnections, server->m_streams.size());
        bufferevent_setcb(stream, &FaultyServer::onReadable, nullptr, &FaultyServer::onEvent, self);
        bufferevent_enable(stream, EV_READ | EV_WRITE);
    }

    static void onEvent(bufferevent *stream, short, void *self)
    {
        static_cast<FaultyServer *>(self)->m_streams.erase(stream);
        bufferevent_free(stream);
    }

    static void onReadable(bufferevent *stream, void *self)
    {
        evbuffer *input = bufferevent_get_input(stream);
        std::string text(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, text.data(), text.size());
        // "GET /BEHAVIOUR/NUMBER HTTP/1.1"
        const std::size_t second = text.find('/', 5);
        const std::string behaviour = text.substr(5, second - 5);
        const std::string number = text.substr(second + 1, text.find(' ', second) - second - 1);
        static_cast<FaultyServer *>(self)->answer(stream, behaviour, number);
    }

    void answer(bufferevent *stream, const std::string &behaviour, const std::string &number)
    {
        const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: "
            + std::to_string(number.size()) + "\r\n\r\n" + number;
        const auto write = [stream](const std::string &text) {
            bufferevent_write(stream, text.data(), text.size());
        };
        if (behaviour == "quick") {
            write(response);
        } else if (behaviour == "twice") {
            write(response + response);
        } else if (behaviour == "half") {
            write(response.substr(0, response.size() - 1));
        } else if (behaviour == "late") {
            m_streams[stream] = std::make_unique<Timer>(m_loop, [=] { write(response); });
            m_streams[stream]->startOnce(30ms);
        } else if (behaviour == "cut") {
            m_streams.erase(stream);
            bufferevent_free(stream);
        }
    }

    event_base *m_loop;
    evconnlistener *m_listener = nullptr;
    std::uint16_t m_port = 0;
    std::map<bufferevent *, std::unique_ptr<Timer>> m_streams;
    std::size_t m_maxConnections = 0;
};

struct CallResult
{
    int times = 0;
    std::optional<HttpAnswer> answer;
    ResultCode code = ResultCode::Ok;
};

} // namespace

TEST_CASE("A late, incomplete or repeated answer is never given to the next call",
          "[connection][task]")
{
    constexpr int calls = 240;
    event_base *loop = event_base_new();
    {
        const SystemClock clock;
        FaultyServer server(loop);
        ConnectionBudget::Settings budget;
        budget.slots = 4;
        budget.connections = 30;
        BackendConnectionPool pool(loop, clock, server.address(), budget, [] {});
        std::vector<CallResult> results(calls);
        int remaining = calls;
        int maxConnections = 0;
        for (int number = 0; number < calls; ++number) {
            HttpCall call;
            call.target
                = "/" + std::string(behaviours[number % 6]) + "/" + std::to_string(number + 1000);
            call.timeout = number % 6 == 0 ? 5s : std::chrono::seconds(0) + 15ms;
            pool.send([call](Reason &) { return call; }, clock.now() + 30s,
                      [&, number](const std::optional<HttpAnswer> &answer, const Reason &reason) {
                          maxConnections = std::max(maxConnections, pool.connections());
                          results[number].times += 1;
                          results[number].answer = answer;
                          results[number].code = reason.code;
                          if (--remaining == 0) {
                              event_base_loopbreak(loop);
                          }
                      });
        }
        event_base_dispatch(loop);
        for (int number = 0; number < calls; ++number) {
            CAPTURE(number, behaviours[number % 6], results[number].code);
            CHECK(results[number].times == 1);
            if (results[number].answer) {
                CHECK(results[number].answer->body == std::to_string(number + 1000));
            } else {
                // Every failed call was sent, so it may have run.
                CHECK(number % 6 != 0);
                CHECK_FALSE(promisesNotRun(results[number].code));
            }
        }
        CHECK(maxConnections <= 6);
    }
    event_base_free(loop);
}

TEST_CASE("A call that gets no connection in time is reported as not run", "[connection][task]")
{
    event_base *loop = event_base_new();
    {
        const SystemClock clock;
        FaultyServer server(loop);
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
        CHECK(server.maxConnections() <= 1);
    }
    event_base_free(loop);
}
