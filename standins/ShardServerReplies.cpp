#include "standins/ShardServer.h"

#include "standins/ShardServerPeer.h"

#include <xxhash.h>

#include <algorithm>

namespace pimentoward::standins {

namespace {

constexpr int statusOk = 200;
constexpr int statusFailed = 500;
constexpr int statusUnavailable = 503;
/// Where the status stands in "HTTP/1.1 200", and its length.
constexpr std::size_t statusPosition = 9;
constexpr std::size_t statusDigits = 3;

} // namespace

HttpReplyMessage ShardServer::makeHealthReply() const
{
    HttpReplyMessage reply;
    reply.headers.add(m_settings.headers.backendId, m_settings.id);
    const Duration coldLeft = m_coldUntil - std::chrono::steady_clock::now();
    if (coldLeft > Duration::zero()) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(coldLeft);
        reply.headers.add(m_settings.headers.coldLeft, std::to_string(left.count()));
    }
    return reply;
}

std::string ShardServer::record(const std::string &service, const std::string &requestId,
                                std::size_t index)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned digitBits = 4;
    const std::string content = service + '/' + requestId + '/' + std::to_string(index);
    std::uint64_t hash = XXH64(content.data(), content.size(), 0);
    std::string record;
    while (record.size() < recordBytes) {
        record += digits[hash % digits.size()];
        hash >>= digitBits;
    }
    return record;
}

HttpReplyMessage ShardServer::makeReply(const std::string &requestId) const
{
    HttpReplyMessage reply;
    reply.status = statusOk;
    reply.headers.add(m_settings.headers.requestId, requestId);
    reply.headers.add(m_settings.headers.signature,
                      m_settings.id + "." + requestId + "." + std::to_string(m_lastReply));
    if (m_isLeaving) {
        reply.headers.add(m_settings.headers.leaving, "1");
    }
    for (std::size_t index = 0; index < m_settings.records; ++index) {
        reply.body += record(m_settings.service, requestId, index);
    }
    return reply;
}

void ShardServer::reply(Peer &peer, const HttpRequestMessage &request, Fault fault)
{
    ++m_lastReply;
    HttpReplyMessage validReply
        = makeReply(std::string(request.headers.value(m_settings.headers.requestId)));
    const std::string bytes = serialize(validReply, request.method);
    const HttpReplyMessage mismatchedReply = makeReply("of-another");
    switch (fault) {
    case Fault::TruncatedReply:
        peer.write(bytes.substr(0, bytes.size() - validReply.body.size() / 2 - 1));
        peer.closeAfterWrite();
        return;
    case Fault::MalformedReply:
        peer.write("\x01\x02garbage\r\n\r\n");
        peer.closeAfterWrite();
        return;
    case Fault::ExtraReply:
        peer.write(bytes + serialize(mismatchedReply, request.method));
        return;
    case Fault::MismatchedReply:
        peer.write(serialize(mismatchedReply, request.method) + bytes);
        return;
    case Fault::NoLength: {
        std::string unframed = bytes;
        const std::size_t start = unframed.find("Content-Length");
        unframed.erase(start, unframed.find("\r\n", start) + 2 - start);
        peer.write(unframed);
        peer.closeAfterWrite();
        return;
    }
    case Fault::ConnectionReset:
        peer.resetOnClose();
        remove(peer);
        return;
    case Fault::NoStatus:
        peer.write(std::string(bytes).replace(statusPosition, statusDigits, "000"));
        peer.readNext();
        return;
    case Fault::Failure:
        validReply.status = statusFailed;
        peer.write(serialize(validReply, request.method));
        return;
    case Fault::Unsigned:
        validReply.headers.remove(m_settings.headers.signature);
        peer.write(serialize(validReply, request.method));
        return;
    case Fault::Encoded:
        validReply.headers.add("Content-Encoding", "gzip");
        peer.write(serialize(validReply, request.method));
        return;
    case Fault::EndlessBody:
        peer.write("HTTP/1.1 200 OK\r\n\r\n");
        peer.isEndless = true;
        m_endlessTimer.startOnce(Duration::zero());
        return;
    case Fault::NoReply:
    case Fault::Shed:
        return;
    case Fault::None:
        peer.write(bytes);
        peer.readNext();
        return;
    }
}

void ShardServer::refuse(Peer &peer, int status)
{
    HttpReplyMessage reply;
    reply.status = status;
    reply.headers.add(m_settings.headers.notRun, "1");
    if (m_isLeaving) {
        reply.headers.add(m_settings.headers.leaving, "1");
    }
    if (status == statusUnavailable && !m_retryAfter.empty()) {
        reply.headers.add("Retry-After", m_retryAfter);
    }
    peer.write(serialize(reply, "GET"));
}

void ShardServer::writeEndlessReplies()
{
    constexpr std::size_t bytesPerWrite = 262'144;
    bool hasEndless = false;
    for (const auto &peer : m_peers) {
        if (!peer->isEndless) {
            continue;
        }
        hasEndless = true;
        if (evbuffer_get_length(bufferevent_get_output(peer->stream)) < bytesPerWrite) {
            peer->write(std::string(bytesPerWrite, 'x'));
        }
    }
    if (hasEndless) {
        m_endlessTimer.startOnce(std::chrono::milliseconds(1));
    }
}

} // namespace pimentoward::standins
