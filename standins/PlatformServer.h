#pragma once

#include "Pimentoward/Connection/HttpServer.h"
#include "Pimentoward/Process/Timer.h"
#include "standins/PlatformStore.h"

#include <list>
#include <memory>
#include <string>

namespace pimentoward::standins {

/// How the stand-in platform misbehaves at present.
enum class PlatformMode {
    Up,
    /// Every call fails with 503 before it takes effect.
    Down,
    /// Calls take effect but are never answered.
    LoseAnswers,
    /// Nothing is read or answered.
    Unresponsive
};

/// The stand-in platform's HTTP interface (docs/INTERFACES.md, "Platform").
class PlatformServer
{
public:
    explicit PlatformServer(event_base *loop);

    bool listen(const Address &address, Reason &reason) { return m_http.listen(address, reason); }
    PlatformStore &store() { return m_store; }
    void changeMode(PlatformMode mode, std::chrono::milliseconds delay);

private:
    struct Watch
    {
        std::string key;
        Revision after = 0;
        HttpServer::Responder respond;
        std::unique_ptr<Timer> timeout;
    };

    /// Counts the call, applies the mode and the delay, then runs `work` for the answer.
    void serve(const HttpServer::Responder &respond, const std::function<HttpAnswer()> &work);
    void answerLater(const HttpServer::Responder &respond, const HttpAnswer &answer);
    void addRoutes();
    void addControlRoutes();
    void watch(const HttpRequest &request, const HttpServer::Responder &respond);
    void answerWatches(const std::string &key);
    HttpAnswer listVms() const;
    HttpAnswer control(const HttpRequest &request);

    event_base *m_loop;
    PlatformStore m_store;
    PlatformMode m_mode = PlatformMode::Up;
    std::chrono::milliseconds m_delay {0};
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_watches = 0;
    std::list<Watch> m_waiting;
    std::list<std::unique_ptr<Timer>> m_delayed;
    HttpServer m_http;
};

} // namespace pimentoward::standins
