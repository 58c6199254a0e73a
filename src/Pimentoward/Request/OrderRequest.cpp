#include "Pimentoward/Request/OrderRequest.h"

#include "Pimentoward/Core/BoundedJson.h"
#include "Pimentoward/Request/CallerRequest.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace pimentoward {

namespace {

using Json = nlohmann::json;

/// Sets `reason` and returns the empty result of a failed parse.
std::optional<OrderRequest> refuse(Reason &reason, ResultCode code, const std::string &text)
{
    reason = {code, text};
    return std::nullopt;
}

/// Reads a required string field. Returns false if it is missing, of another type, empty or too
/// long.
bool readRequiredString(const Json &root, const char *name, std::string &text)
{
    const auto found = root.find(name);
    if (found == root.end() || !found->is_string()) {
        return false;
    }
    text = found->get<std::string>();
    return !text.empty() && text.size() <= OrderRequest::maxKeyBytes;
}

/// Reads an integer field of 1 to `max` milliseconds. Returns nothing if it is missing, of another
/// type or out of range.
std::optional<std::int64_t> readMilliseconds(const Json &root, const char *name, std::int64_t max)
{
    const auto found = root.find(name);
    if (found == root.end() || !found->is_number_integer()) {
        return std::nullopt;
    }
    const double value = found->get<double>();
    if (value < 1 || value > static_cast<double>(max)) {
        return std::nullopt;
    }
    return found->get<std::int64_t>();
}

} // namespace

std::optional<OrderRequest> OrderRequest::parse(const std::string &json, WallTime now,
                                                Reason &reason)
{
    const Json root = parseJson(json);
    if (!root.is_object()) {
        return refuse(reason, ResultCode::MalformedRequest, "the body is not a valid JSON object");
    }
    OrderRequest request;
    if (!readRequiredString(root, "service", request.service)
        || !readRequiredString(root, "key", request.key)
        || !readRequiredString(root, "idempotencyKey", request.idempotencyKey)) {
        return refuse(
            reason, ResultCode::MissingField,
            "fields 'service', 'key' and 'idempotencyKey' must be strings of 1 to 128 bytes");
    }
    if (!root.contains("content") || !root["content"].is_object()) {
        return refuse(reason, ResultCode::MissingField, "field 'content' must be a JSON object");
    }
    const auto className = root.value("class", Json(requestClassName(RequestClass::Interactive)));
    const auto requestClass
        = className.is_string() ? requestClassFromName(className.get<std::string>()) : std::nullopt;
    if (!requestClass) {
        return refuse(reason, ResultCode::MissingField,
                      "field 'class' must be one of interactive, evening, batch");
    }
    request.requestClass = *requestClass;
    if (root.contains("deadlineMs")) {
        const auto deadline
            = readMilliseconds(root, "deadlineMs", CallerRequest::maxDeadline.count());
        if (!deadline) {
            return refuse(reason, ResultCode::InvalidDeadline,
                          "field 'deadlineMs' must be a whole number from 1 to 600000");
        }
        request.deadline = std::chrono::milliseconds(*deadline);
    }
    const auto latestExpiry = std::chrono::duration_cast<std::chrono::milliseconds>(
        (now + maxTimeToExpiry).time_since_epoch());
    const auto expiry = readMilliseconds(root, "expiresAtMs", latestExpiry.count());
    if (!expiry) {
        return refuse(reason, ResultCode::MissingField,
                      "field 'expiresAtMs' must be a time in ms since 1970, at most 24 h ahead");
    }
    request.expiry = WallTime(std::chrono::milliseconds(*expiry));
    if (request.expiry <= now) {
        return refuse(reason, ResultCode::KeyExpired, "the idempotency key has expired");
    }
    constexpr auto replaceInvalidText = Json::error_handler_t::replace;
    request.content = root["content"].dump(-1, ' ', false, replaceInvalidText);
    return request;
}

std::uint64_t OrderRequest::contentHash() const
{
    const std::string hashedText = key + '\n' + content;
    return XXH64(hashedText.data(), hashedText.size(), 0);
}

std::string OrderRequest::backendBody() const
{
    return Json {{"idempotencyKey", idempotencyKey}, {"key", ""}, {"order", Json::parse(content)}}
        .dump();
}

} // namespace pimentoward
