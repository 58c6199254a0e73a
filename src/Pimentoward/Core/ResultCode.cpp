#include "Pimentoward/Core/ResultCode.h"

#include <algorithm>

namespace pimentoward {

const std::vector<ResultCodeInfo> &resultCodeTable()
{
    using C = ResultCode;
    static const std::vector<ResultCodeInfo> table {
        {C::Ok, "ok", 200, "The complete answer from one index version."},
        {C::PartialCoverage, "partial-coverage", 200,
         "Some shards did not answer in time; the answer names them and states the coverage."},
        {C::RecordedOutcome, "recorded-outcome", 200,
         "The idempotency key was used before; this is the outcome recorded then."},
        {C::MalformedRequest, "malformed-request", 400, "The request is not a valid JSON object."},
        {C::BodyTooLarge, "body-too-large", 413, "The body or a header is longer than allowed."},
        {C::UnknownService, "unknown-service", 404, "No service has this name."},
        {C::InvalidDeadline, "invalid-deadline", 400, "The deadline is outside its range."},
        {C::MissingField, "missing-field", 400,
         "A required field is missing or has the wrong type."},
        {C::MethodNotAllowed, "method-not-allowed", 405,
         "The path does not accept this HTTP method."},
        {C::UnknownPath, "unknown-path", 404, "No resource exists at this path."},
        {C::InvalidMessage, "invalid-message", 400, "A peer message could not be decoded."},
        {C::KeyConflict, "key-conflict", 409,
         "The idempotency key was used with other content; nothing was run."},
        {C::KeyExpired, "key-expired", 410, "The idempotency key has expired."},
        {C::InvalidSetting, "invalid-setting", 400, "A setting's value is not allowed."},
        {C::RevisionConflict, "revision-conflict", 409,
         "Another change was made first; read the settings again."},
        {C::UnsureWrite, "unsure-write", 503,
         "It is not yet known whether the change took effect."},
        {C::StoreUnavailable, "store-unavailable", 503, "The platform's store does not answer."},
        {C::CommittedNotInForce, "committed-not-in-force", 202,
         "The change is committed, but it is not yet known to be in force on every VM."},
        {C::NotRunOverloaded, "not-run-overloaded", 503, "Not run: the queue is full."},
        {C::NotRunDeadline, "not-run-deadline", 503,
         "Not run: it could not finish before its deadline."},
        {C::NotRunNoContact, "not-run-no-contact", 503,
         "Not run: this VM has no contact with more than half of the members."},
        {C::NotRunNotOwner, "not-run-not-owner", 503,
         "Not run: the VM does not own the backend server."},
        {C::NotRunLeaving, "not-run-leaving", 503, "Not run: the VM or backend server is leaving."},
        {C::NotRunStoreUnavailable, "not-run-store-unavailable", 503,
         "Not run: the request could not be claimed in the store."},
        {C::NotRunRefusedByBackend, "not-run-refused-by-backend", 503,
         "Not run: the backend server refused it before starting any work."},
        {C::NotRunCancelled, "not-run-cancelled", 503, "Not run: cancelled before dispatch."},
        {C::DeadlineExceeded, "deadline-exceeded", 504, "No answer came before the deadline."},
        {C::BackendFailed, "backend-failed", 502, "The backend server failed."},
        {C::VersionGone, "version-gone", 502,
         "The backend server does not have the pinned version."},
        {C::WrongReply, "wrong-reply", 502, "A reply did not match its request."},
        {C::MayHaveRun, "may-have-run", 502,
         "The request was dispatched and its outcome is unknown; it will not be run again."},
        {C::PeerUnreachable, "peer-unreachable", 502, "The owner's VM could not be reached."},
        {C::InternalError, "internal-error", 500, "An internal error of the tier."},
    };
    return table;
}

const ResultCodeInfo &resultCodeInfo(ResultCode code)
{
    const auto &table = resultCodeTable();
    const auto row = std::find_if(table.begin(), table.end(),
                                  [code](const ResultCodeInfo &info) { return info.code == code; });
    return row == table.end() ? table.back() : *row;
}

bool promisesNotRun(ResultCode code)
{
    return code >= ResultCode::NotRunOverloaded && code <= ResultCode::NotRunCancelled;
}

ResultCode resultCodeFromNumber(std::uint64_t number)
{
    for (const ResultCodeInfo &info : resultCodeTable()) {
        if (static_cast<std::uint64_t>(info.code) == number) {
            return info.code;
        }
    }
    return ResultCode::InternalError;
}

} // namespace pimentoward
