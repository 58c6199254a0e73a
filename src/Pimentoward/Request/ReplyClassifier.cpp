#include "Pimentoward/Request/ReplyClassifier.h"

#include "Pimentoward/Connection/RetryAfter.h"

namespace pimentoward {

namespace {

constexpr int statusMisdirected = 421;
constexpr int statusUnavailable = 503;

bool isSuccess(int status)
{
    constexpr int firstSuccess = 200;
    constexpr int firstRedirect = 300;
    return status >= firstSuccess && status < firstRedirect;
}

} // namespace

ClassifiedReply classifyReply(ExchangeOutcome outcome, HttpReplyMessage reply,
                              const HeaderNames &names)
{
    ClassifiedReply result;
    if (outcome == ExchangeOutcome::NotSent) {
        result.kind = ReplyKind::NotRun;
        result.reason = "cannot connect";
        return result;
    }
    if (outcome == ExchangeOutcome::Broken) {
        result.reason = "connection broke";
        return result;
    }
    result.signature = reply.headers.value(names.signature);
    result.isLeaving
        = reply.status != statusMisdirected && reply.headers.value(names.leaving) == "1";
    if (reply.status == statusUnavailable) {
        result.pause = retryAfter(reply.headers);
    }
    if (reply.status == statusMisdirected) {
        result.kind = ReplyKind::NotRun;
        result.isMisdirected = true;
        result.reason = "address belongs to another backend server";
    } else if (!isSuccess(reply.status) && reply.headers.has(names.notRun)) {
        result.kind = ReplyKind::NotRun;
        result.reason = "refused by backend server";
    } else if (result.signature.empty()) {
        result.reason = "reply has no signature";
    } else if (reply.headers.has("Content-Encoding")) {
        result.reason = "reply body has a content encoding";
    } else if (!isSuccess(reply.status)) {
        result.kind = ReplyKind::Failure;
        result.reason = "backend server failed";
    } else {
        result.kind = ReplyKind::Success;
    }
    result.message = std::move(reply);
    return result;
}

} // namespace pimentoward
