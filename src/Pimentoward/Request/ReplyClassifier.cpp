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

JudgedReply judgeReply(ExchangeEnd end, HttpReplyMessage reply, const ForwardHeaders &names)
{
    JudgedReply judged;
    if (end == ExchangeEnd::NotSent) {
        judged.kind = ReplyKind::NotRun;
        judged.why = "cannot connect";
        return judged;
    }
    if (end == ExchangeEnd::Broken) {
        judged.why = "connection broke";
        return judged;
    }
    judged.signature = reply.headers.value(names.signature);
    if (reply.status == statusMisdirected) {
        judged.kind = ReplyKind::NotRun;
        judged.isMisdirected = true;
        judged.why = "another backend server";
    } else if (!isSuccess(reply.status) && reply.headers.has(names.notRun)) {
        judged.kind = ReplyKind::NotRun;
        judged.why = "refused by backend server";
    } else if (judged.signature.empty()) {
        judged.why = "no signature";
    } else if (reply.headers.has("Content-Encoding")) {
        judged.why = "encoded body";
    } else if (!isSuccess(reply.status)) {
        judged.kind = ReplyKind::Failure;
        judged.why = "backend server failed";
    } else {
        judged.kind = ReplyKind::Success;
    }
    judged.message = std::move(reply);
    return judged;
}

} // namespace pimentoward
