#include "Pimentoward/Request/ForwardMessages.h"

#include <algorithm>
#include <charconv>

namespace pimentoward {

namespace {

/// Maximum time that a caller can state; higher values are reduced to it.
constexpr std::chrono::milliseconds maxTimeLeft {3'600'000};

} // namespace

ForwardMessages::ForwardMessages(HeaderNames names)
    : m_names(std::move(names))
{ }

std::optional<Duration> ForwardMessages::timeLeft(const HttpRequestMessage &request) const
{
    const std::string_view text = request.headers.value(m_names.timeLeft);
    std::int64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || result.ec != std::errc() || value < 0) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(std::min(value, maxTimeLeft.count()));
}

std::string ForwardMessages::head(const HttpRequestMessage &request, bool hasWorkspaces,
                                  const std::string &workspace) const
{
    HttpRequestMessage forwarded;
    forwarded.method = request.method;
    forwarded.target = request.target;
    forwarded.headers = request.headers;
    forwarded.headers.removeHopByHop();
    forwarded.headers.remove(m_names.timeLeft);
    forwarded.headers.remove(m_names.expectedBackend);
    forwarded.headers.remove("Expect");
    if (hasWorkspaces) {
        forwarded.headers.remove(m_names.authorization);
        forwarded.headers.remove(m_names.workspace);
        if (!workspace.empty()) {
            forwarded.headers.add(m_names.workspace, workspace);
        }
    }
    return serializeHead(forwarded);
}

std::string ForwardMessages::request(const std::string &head, const std::string &method,
                                     const std::string &body,
                                     const BackendServerId &expectedBackend,
                                     Duration remaining) const
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(remaining);
    std::string bytes = head;
    bytes += m_names.timeLeft + ": " + std::to_string(milliseconds.count()) + "\r\n";
    if (!expectedBackend.empty()) {
        bytes += m_names.expectedBackend + ": " + expectedBackend + "\r\n";
    }
    appendBody(bytes, method, body);
    return bytes;
}

HttpReplyMessage ForwardMessages::reply(GatherOutcome &outcome, const RequestId &id) const
{
    HttpReplyMessage reply = std::move(outcome.reply);
    reply.headers.removeHopByHop();
    if (!outcome.signatures.empty()) {
        std::string joined;
        for (const std::string &signature : outcome.signatures) {
            joined += joined.empty() ? "" : ", ";
            joined += signature;
        }
        reply.headers.add(m_names.partSignatures, joined);
        reply.headers.add(m_names.missingParts, std::to_string(outcome.missing));
    }
    if (!reply.headers.has(m_names.requestId)) {
        reply.headers.add(m_names.requestId, id);
    }
    return reply;
}

} // namespace pimentoward
