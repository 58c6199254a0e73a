#include "standins/SiteCaller.h"

#include "platform/WireNames.h"

#include <algorithm>

namespace pimentoward::standins {

SiteCaller::SiteCaller(event_base *loop, std::string host, std::string prefix)
    : m_loop(loop)
    , m_headerNames(platform::wire::headerNames())
    , m_host(std::move(host))
    , m_prefix(std::move(prefix))
{ }

SiteCaller::~SiteCaller() = default;

SiteCaller::Outcome &SiteCaller::send(const Address &vm, const Request &request)
{
    m_outcomes.emplace_back();
    Outcome &outcome = m_outcomes.back();
    outcome.requestId = m_prefix + std::to_string(m_outcomes.size());
    outcome.request = request;
    HttpRequestMessage message;
    message.method = request.method;
    message.target = request.path;
    message.body = request.body;
    message.headers.add("Host", m_host);
    message.headers.add(m_headerNames.requestId, outcome.requestId);
    message.headers.add(m_headerNames.timeLeft, std::to_string(request.timeLeft.count()));
    for (const HttpHeader &field : request.headers) {
        message.headers.add(field.name, field.value);
    }
    m_running.emplace_back();
    Running &running = m_running.back();
    running.sentAt = std::chrono::steady_clock::now();
    running.connection
        = std::make_unique<BackendConnection>(m_loop, vm, [](BackendConnection &) {});
    const BackendConnection::Exchange exchange {serialize(message), request.method,
                                                outcome.requestId, m_headerNames.requestId};
    running.connection->send(
        exchange,
        [&outcome, sentAt = running.sentAt](ExchangeOutcome result, HttpReplyMessage reply) {
            outcome.hasEnded = true;
            outcome.status = result == ExchangeOutcome::Replied ? reply.status : 0;
            outcome.reply = std::move(reply);
            outcome.elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::steady_clock::now() - sentAt);
        });
    if (request.disconnectAfter.count() > 0) {
        running.disconnectTimer = std::make_unique<Timer>(m_loop, [&running, &outcome] {
            running.connection.reset();
            outcome.hasEnded = true;
        });
        running.disconnectTimer->startOnce(request.disconnectAfter);
    }
    return outcome;
}

bool SiteCaller::haveAllEnded() const
{
    return std::all_of(m_outcomes.begin(), m_outcomes.end(),
                       [](const Outcome &outcome) { return outcome.hasEnded; });
}

} // namespace pimentoward::standins
