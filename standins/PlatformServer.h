#pragma once

#include "Pimentoward/Connection/HttpServer.h"
#include "Pimentoward/Process/Timer.h"
#include "standins/PlatformStore.h"

#include <list>
#include <memory>
#include <string>

namespace pimentoward::standins {

/// How the stand-in platform handles calls. All modes except Up are faults.
enum class PlatformMode {
    Up,
    /// Every call fails with status 503 and does not take effect.
    Down,
    /// Calls take effect but are never answered.
    LoseAnswers,
    /// Calls neither take effect nor are answered.
    Unresponsive
};

/// HTTP interface of the stand-in platform (docs/INTERFACES.md, "Platform").
class PlatformServer
{
public:
    explicit PlatformServer(event_base *loop);

    /// Returns false with `reason` if the address cannot be bound.
    bool listen(const Address &address, Reason &reason) { return m_http.listen(address, reason); }
    PlatformStore &store() { return m_store; }
    /// Changes the mode and the delay before each answer.
    void changeMode(PlatformMode mode, std::chrono::milliseconds delay);

private:
    /// A watch call that waits for a revision above `after`, or for its timeout.
    struct Watch
    {
        std::string key;
        Revision after = 0;
        HttpServer::Responder respond;
        std::unique_ptr<Timer> timeout;
    };

    /// Handles one call. The mode decides whether `operation` runs and whether an answer is sent.
    void serve(const HttpServer::Responder &respond, const std::function<HttpAnswer()> &operation);
    /// Sends the answer after the delay.
    void sendAnswer(const HttpServer::Responder &respond, const HttpAnswer &answer);
    void addRoutes();
    void addControlRoutes();
    void handleWatch(const HttpRequest &request, const HttpServer::Responder &respond);
    /// Answers the waiting watches of a key that has changed.
    void answerWatches(const std::string &key);
    HttpAnswer listVms() const;
    HttpAnswer handleControl(const HttpRequest &request);

    event_base *m_loop;
    PlatformStore m_store;
    PlatformMode m_mode = PlatformMode::Up;
    std::chrono::milliseconds m_delay {0};
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_watches = 0;
    std::list<Watch> m_waitingWatches;
    std::list<std::unique_ptr<Timer>> m_delayTimers;
    HttpServer m_http;
};

} // namespace pimentoward::standins
