#include "Pimentoward/Connection/BackendCall.h"

#include <chrono>
#include <cstdlib>

namespace pimentoward {

namespace {

constexpr int statusOk = 200;
constexpr int statusVersionGone = 410;
constexpr int statusRefused = 503;
constexpr int statusStopped = 499;

std::string millisecondsText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

bool isMatchingReply(const SubrequestBatch &batch, const SubrequestItem &item,
                     const HttpAnswer &answer)
{
    return answer.header("x-request-id") == BackendCall::subrequestId(batch.requestId, item.number)
        && answer.header("x-shard") == item.shard
        && answer.header("x-version") == std::to_string(batch.version)
        && answer.header("x-length") == std::to_string(answer.body.size());
}

} // namespace

std::string BackendCall::subrequestId(const RequestId &requestId, std::uint32_t number)
{
    return requestId + "/" + std::to_string(number);
}

HttpCall BackendCall::run(const SubrequestBatch &batch, const SubrequestItem &item,
                          Duration timeLeft, Duration grace)
{
    HttpCall call;
    call.method = "POST";
    call.target = "/run";
    call.headers = {{"X-Request-Id", subrequestId(batch.requestId, item.number)},
                    {"X-Shard", item.shard},
                    {"X-Version", std::to_string(batch.version)},
                    {"X-Deadline-Ms", millisecondsText(timeLeft)}};
    call.body = batch.body;
    call.timeout = timeLeft + grace;
    return call;
}

HttpCall BackendCall::cancel(const RequestId &requestId, std::uint32_t number, Duration timeout)
{
    HttpCall call;
    call.method = "POST";
    call.target = "/cancel";
    call.headers = {{"X-Request-Id", subrequestId(requestId, number)}};
    call.timeout = timeout;
    return call;
}

Subreply BackendCall::readReply(const SubrequestBatch &batch, const SubrequestItem &item,
                                const HttpAnswer &answer)
{
    Subreply reply = replyTo(batch, item, {});
    if (answer.status == statusOk) {
        if (isMatchingReply(batch, item, answer)) {
            reply.body = answer.body;
        } else {
            reply.code = ResultCode::WrongReply;
            reply.detail = "the id, shard, version or length in the backend server's reply does "
                           "not match the subrequest";
        }
    } else if (answer.status == statusVersionGone) {
        reply.code = ResultCode::VersionGone;
    } else if (answer.status == statusRefused) {
        reply.code = ResultCode::NotRunRefusedByBackend;
    } else if (answer.status == statusStopped) {
        reply.code = ResultCode::DeadlineExceeded;
    } else {
        reply.code = ResultCode::BackendFailed;
        reply.detail = "the backend server answered with status " + std::to_string(answer.status);
    }
    return reply;
}

bool BackendCall::provesEnd(ResultCode code, bool isAnswered)
{
    if (isAnswered) {
        return code != ResultCode::WrongReply;
    }
    return code == ResultCode::PeerUnreachable || promisesNotRun(code);
}

bool BackendCall::acknowledgesCancel(const HttpAnswer &answer)
{
    return answer.status == statusOk;
}

Incarnation BackendCall::incarnation(const HttpAnswer &answer)
{
    return std::strtoull(answer.header("x-incarnation").c_str(), nullptr, 10);
}

bool BackendCall::isLeaving(const HttpAnswer &answer)
{
    return answer.header("x-leaving") == "1";
}

} // namespace pimentoward
