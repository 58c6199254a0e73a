#include "Pimentoward/Request/CallerRequest.h"

#include "Pimentoward/Core/BoundedJson.h"

#include <nlohmann/json.hpp>

namespace pimentoward {

namespace {

using Json = nlohmann::json;

/// Reads an optional string field. Returns false and sets `reason` if the field has another type or
/// is too long.
bool readOptionalString(const Json &root, const char *name, std::string &text, Reason &reason)
{
    constexpr std::size_t maxTextBytes = 1024;
    const auto found = root.find(name);
    if (found == root.end()) {
        return true;
    }
    if (!found->is_string() || found->get_ref<const std::string &>().size() > maxTextBytes) {
        reason = {ResultCode::MissingField,
                  std::string("field '") + name + "' must be a string of at most 1024 bytes"};
        return false;
    }
    text = found->get<std::string>();
    return true;
}

/// Reads the optional field "deadlineMs". Returns false and sets `reason` if it is not a whole
/// number within its range.
bool readDeadline(const Json &root, std::optional<std::chrono::milliseconds> &deadline,
                  Reason &reason)
{
    const auto found = root.find("deadlineMs");
    if (found == root.end()) {
        return true;
    }
    const std::int64_t maxMilliseconds = CallerRequest::maxDeadline.count();
    const bool isInRange = found->is_number_integer() && found->get<double>() >= 1
        && found->get<double>() <= static_cast<double>(maxMilliseconds);
    if (!isInRange) {
        reason = {ResultCode::InvalidDeadline,
                  "field 'deadlineMs' must be a whole number from 1 to "
                      + std::to_string(maxMilliseconds)};
        return false;
    }
    deadline = std::chrono::milliseconds(found->get<std::int64_t>());
    return true;
}

} // namespace

std::optional<CallerRequest> CallerRequest::parse(const std::string &json, Reason &reason)
{
    const Json root = parseJson(json);
    if (!root.is_object()) {
        reason = {ResultCode::MalformedRequest, "the body is not a valid JSON object"};
        return std::nullopt;
    }
    CallerRequest request;
    std::string className = requestClassName(RequestClass::Interactive);
    if (!readOptionalString(root, "service", request.service, reason)
        || !readOptionalString(root, "key", request.key, reason)
        || !readOptionalString(root, "field", request.field, reason)
        || !readOptionalString(root, "value", request.value, reason)
        || !readOptionalString(root, "class", className, reason)
        || !readDeadline(root, request.deadline, reason)) {
        return std::nullopt;
    }
    const auto requestClass = requestClassFromName(className);
    if (!requestClass) {
        reason = {ResultCode::MissingField,
                  "field 'class' must be one of interactive, evening, batch"};
        return std::nullopt;
    }
    request.requestClass = *requestClass;
    if (request.service.empty()) {
        reason = {ResultCode::MissingField, "field 'service' is required"};
        return std::nullopt;
    }
    if (request.key.empty() == request.field.empty()) {
        reason = {ResultCode::MissingField,
                  "exactly one of 'key' (lookup) and 'field' (search) is required"};
        return std::nullopt;
    }
    return request;
}

std::string CallerRequest::backendBody() const
{
    constexpr auto replaceInvalidText = Json::error_handler_t::replace;
    const Json body = isLookup() ? Json {{"key", key}} : Json {{"field", field}, {"value", value}};
    return body.dump(-1, ' ', false, replaceInvalidText);
}

} // namespace pimentoward
