#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace pimentoward {

/// Numbered outcome of a request or operation. docs/RESULT-CODES.md contains the same table.
enum class ResultCode : std::uint16_t {
    Ok = 0,
    PartialCoverage = 1,
    RecordedOutcome = 2,
    MalformedRequest = 100,
    BodyTooLarge = 101,
    UnknownService = 102,
    InvalidDeadline = 103,
    MissingField = 104,
    MethodNotAllowed = 105,
    UnknownPath = 106,
    InvalidMessage = 107,
    KeyConflict = 108,
    KeyExpired = 109,
    InvalidSetting = 200,
    RevisionConflict = 201,
    UnsureWrite = 202,
    StoreUnavailable = 203,
    CommittedNotInForce = 204,
    NotRunOverloaded = 300,
    NotRunDeadline = 301,
    NotRunNoContact = 302,
    NotRunNotOwner = 303,
    NotRunLeaving = 304,
    NotRunStoreUnavailable = 305,
    NotRunRefusedByBackend = 306,
    NotRunCancelled = 307,
    DeadlineExceeded = 400,
    BackendFailed = 401,
    VersionGone = 402,
    WrongReply = 403,
    MayHaveRun = 404,
    PeerUnreachable = 405,
    InternalError = 500,
};

/// One row of the result code table.
struct ResultCodeInfo
{
    ResultCode code;
    std::string_view name;
    /// Status of the HTTP answer that carries the code.
    int httpStatus;
    std::string_view meaning;
};

/// Returns all rows, sorted by number.
const std::vector<ResultCodeInfo> &resultCodeTable();

/// Returns the row of `code`, or the row of InternalError if the number is unknown.
const ResultCodeInfo &resultCodeInfo(ResultCode code);

/// Returns true if the code guarantees that no backend server ran the request.
bool promisesNotRun(ResultCode code);

/// Returns the code with this number, or InternalError if there is none.
ResultCode resultCodeFromNumber(std::uint64_t number);

} // namespace pimentoward
