#pragma once

#include "Pimentoward/Connection/HttpServer.h"
#include "Pimentoward/Process/Timer.h"
#include "standins/KeyValueModel.h"

#include <list>
#include <map>
#include <memory>
#include <string>

namespace pimentoward::standins {

/// A stand-in for the platform's key-value store with its HTTP interface. It can simulate faults of
/// the store.
class KeyValueServer
{
public:
    /// How the store currently handles calls.
    enum class Mode {
        Up,
        /// Calls are answered with 503 and not carried out.
        Down,
        /// Calls are answered with 429 and not carried out.
        Busy,
        /// Calls are neither carried out nor answered.
        Unresponsive,
        /// Calls are carried out but not answered.
        LoseAnswers,
        /// Calls are carried out, but the bodies of the answers are not valid JSON.
        Malformed
    };

    KeyValueServer(event_base *loop, const KeyValueModel::Settings &settings);

    bool listen(const Address &address, Reason &reason) { return m_http.listen(address, reason); }
    std::uint16_t port() const { return m_http.port(); }
    void changeMode(Mode mode);
    /// Delays all later answers by this time.
    void changeDelay(std::chrono::milliseconds delay) { m_delay = delay; }
    /// Writes a key as operators do, and answers the watches that wait for it.
    void put(const std::string &key, const std::string &value);
    /// Removes a key as operators do, and answers the watches that wait for it.
    void remove(const std::string &key);
    /// Drops the complete history of changes, so that watches from older revisions fail with 410.
    void dropHistory();
    /// Brings back an earlier copy of the model, and answers the watches that wait.
    void restore(const KeyValueModel &copy);
    KeyValueModel &model() { return m_model; }
    /// Number of calls by path, including those that were refused or not answered.
    const std::map<std::string, std::uint64_t> &calls() const { return m_calls; }

private:
    /// A call that waits for a change under a prefix after a revision, until `endsAt` at the
    /// latest.
    struct Watch
    {
        std::string prefix;
        Revision after = 0;
        SteadyTime endsAt {};
        HttpServer::Responder respond;
    };
    using CallHandler = std::function<HttpAnswer(const HttpRequest &)>;

    /// Adds a route whose calls are subject to the mode and the delay.
    void addCall(const std::string &method, const std::string &path, CallHandler callHandler);
    /// Counts the call. Returns true if the mode prevents its execution; the call has then been
    /// answered with an error or is left without an answer.
    bool isHandledByMode(const HttpRequest &request, const HttpServer::Responder &respond);
    /// Sends an answer as the mode and the delay require.
    void answer(const HttpServer::Responder &respond, const HttpAnswer &answer);
    void addRoutes();
    void addOperatorRoutes();
    HttpAnswer transact(const HttpRequest &request);
    void watch(const HttpRequest &request, const HttpServer::Responder &respond);
    /// Answers the watches that have a change to report, have reached their end, or start before
    /// the history.
    void answerWatches();
    void tick();

    KeyValueModel m_model;
    Mode m_mode = Mode::Up;
    std::chrono::milliseconds m_delay {0};
    std::map<std::string, std::uint64_t> m_calls;
    std::list<Watch> m_watches;
    /// Responders of calls that get no answer. They are kept but never called.
    std::list<HttpServer::Responder> m_unanswered;
    /// An answer that is sent at a later time.
    struct DelayedAnswer
    {
        SteadyTime at {};
        HttpServer::Responder respond;
        HttpAnswer answer;
    };
    std::list<DelayedAnswer> m_delayed;
    HttpServer m_http;
    Timer m_timer;
};

} // namespace pimentoward::standins
