#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace pimentoward {

/// The urgency of a request. Queues serve a class with a lower number first.
enum class RequestClass : std::uint8_t { Interactive = 0, Evening = 1, Batch = 2 };

/// Returns the name of a class in callers' requests: "interactive", "evening" or "batch".
const char *requestClassName(RequestClass requestClass);
/// Returns the class with this name, or nothing if there is none.
std::optional<RequestClass> requestClassFromName(const std::string &name);

} // namespace pimentoward
