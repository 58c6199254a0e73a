#include "apps/pimentoctl/OperatorClient.h"

#include "Pimentoward/Connection/HttpConnection.h"

#include <event2/event.h>

namespace pimentoctl {

using namespace pimentoward;

namespace {

using Json = nlohmann::json;

/// Parses the JSON body of an answer. Fails with the result code in the body if the VM refused.
std::optional<Json> parseAnswer(const HttpAnswer &answer, Reason &reason)
{
    constexpr bool throwOnError = false;
    constexpr int firstErrorStatus = 300;
    Json body = Json::parse(answer.body, nullptr, throwOnError);
    if (!body.is_object()) {
        reason = {ResultCode::WrongReply,
                  "the VM answered with status " + std::to_string(answer.status)
                      + " and a body that is not a JSON object"};
        return std::nullopt;
    }
    const std::uint64_t code = body.value("code", std::uint64_t {0});
    if (answer.status >= firstErrorStatus || code != 0) {
        reason = {resultCodeFromNumber(code), body.value("reason", std::string())};
        return std::nullopt;
    }
    return body;
}

} // namespace

OperatorClient::OperatorClient(std::vector<Address> vms, std::chrono::milliseconds timeout)
    : m_vms(std::move(vms))
    , m_timeout(timeout)
{ }

std::optional<HttpAnswer> OperatorClient::call(const Address &vm, HttpCall call,
                                               Reason &reason) const
{
    call.timeout = m_timeout;
    std::optional<HttpAnswer> result;
    event_base *loop = event_base_new();
    {
        HttpConnection connection(loop, vm);
        connection.send(call, [&](auto answer, const Reason &why) {
            result = std::move(answer);
            reason = why;
            event_base_loopbreak(loop);
        });
        event_base_dispatch(loop);
    }
    event_base_free(loop);
    return result;
}

std::optional<Json> OperatorClient::callFirstReachable(const HttpCall &request,
                                                       Reason &reason) const
{
    for (const Address &vm : m_vms) {
        const auto answer = call(vm, request, reason);
        if (answer) {
            return parseAnswer(*answer, reason);
        }
        // The call is sent to another VM only if no byte of it has been sent to this one. Otherwise
        // this VM may already have carried it out.
        if (reason.code != ResultCode::PeerUnreachable) {
            return std::nullopt;
        }
    }
    reason = {ResultCode::PeerUnreachable, "none of the given VMs can be reached"};
    return std::nullopt;
}

std::optional<Json> OperatorClient::state(const Address &vm, Reason &reason) const
{
    const auto answer = call(vm, {"GET", "/state", {}, {}, {}}, reason);
    return answer ? parseAnswer(*answer, reason) : std::nullopt;
}

} // namespace pimentoctl
