#pragma once

#include "Pimentoward/Connection/HttpServer.h"
#include "Pimentoward/Process/Timer.h"
#include "standins/KeyValueModel.h"

#include <list>
#include <map>
#include <memory>
#include <string>

namespace pimentoward::standins {

/// A stand-in for the platform's key-value store over HTTP, with the troubles that a store has.
class KeyValueServer
{
public:
    /// How calls are met at present.
    enum class Mode {
        Up,
        /// 503; nothing is done.
        Down,
        /// 429; nothing is done.
        Busy,
        /// Nothing is done or answered.
        Silent,
        /// Calls are carried out and not answered.
        LoseAnswers,
        /// Answers that are no JSON.
        Malformed
    };

    KeyValueServer(event_base *loop, const KeyValueModel::Settings &settings);

    bool listen(const Address &address, Reason &reason) { return m_http.listen(address, reason); }
    std::uint16_t port() const { return m_http.port(); }
    void changeMode(Mode mode);
    void changeDelay(std::chrono::milliseconds delay) { m_delay = delay; }
    /// Writes as the operators do; watches are answered.
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    void dropHistory();
    KeyValueModel &model() { return m_model; }
    /// Calls by path, refused ones included.
    const std::map<std::string, std::uint64_t> &calls() const { return m_calls; }

private:
    struct Watch
    {
        std::string prefix;
        Revision after = 0;
        SteadyTime endsAt {};
        HttpServer::Responder respond;
    };
    using Work = std::function<HttpAnswer(const HttpRequest &)>;

    void addCall(const std::string &method, const std::string &path, Work work);
    bool isTurnedAway(const HttpRequest &request, const HttpServer::Responder &respond);
    void answer(const HttpServer::Responder &respond, const HttpAnswer &answer);
    void addRoutes();
    void addOperatorRoutes();
    HttpAnswer transact(const HttpRequest &request);
    void watch(const HttpRequest &request, const HttpServer::Responder &respond);
    void answerWatches();
    void tick();

    KeyValueModel m_model;
    Mode m_mode = Mode::Up;
    std::chrono::milliseconds m_delay {0};
    std::map<std::string, std::uint64_t> m_calls;
    std::list<Watch> m_waiting;
    /// Calls that get no answer; libevent needs each to stay until its connection ends.
    std::list<HttpServer::Responder> m_unanswered;
    struct Delayed
    {
        SteadyTime at {};
        HttpServer::Responder respond;
        HttpAnswer answer;
    };
    std::list<Delayed> m_delayed;
    HttpServer m_http;
    Timer m_timer;
};

} // namespace pimentoward::standins
