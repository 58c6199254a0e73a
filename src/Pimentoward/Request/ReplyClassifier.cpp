#include "Pimentoward/Request/ReplyClassifier.h"

namespace pimentoward {

namespace {

constexpr int statusMisdirected = 421;

bool isSuccess(int status)
{
    constexpr int firstSuccess = 200;
    constexpr int firstRedirect = 300;
    return status >= firstSuccess && status < firstRedirect;
}

} // namespace

ClassifiedReply classifyReply(ExchangeOutcome outcome, HttpReplyMessage reply,
                              const ForwardHeaders &names)
{
    ClassifiedReply result;
    if (outcome == ExchangeOutcome::NotSent) {
        result.kind = ReplyKind::NotRun;
        result.cause = "cannot connect";
        return result;
    }
    if (outcome == ExchangeOutcome::Broken) {
        result.cause = "connection broke";
        return result;
    }
    result.signature = reply.headers.value(names.signature);
    if (reply.status == statusMisdirected) {
        result.kind = ReplyKind::NotRun;
        result.isMisdirected = true;
        result.cause = "address belongs to another backend server";
    } else if (!isSuccess(reply.status) && reply.headers.has(names.notRun)) {
        result.kind = ReplyKind::NotRun;
        result.cause = "refused by backend server";
    } else if (result.signature.empty()) {
        result.cause = "reply has no signature";
    } else if (reply.headers.has("Content-Encoding")) {
        result.cause = "reply body has a content encoding";
    } else if (!isSuccess(reply.status)) {
        result.kind = ReplyKind::Failure;
        result.cause = "backend server failed";
    } else {
        result.kind = ReplyKind::Success;
    }
    result.message = std::move(reply);
    return result;
}

} // namespace pimentoward
