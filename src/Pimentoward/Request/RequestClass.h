#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace pimentoward {

/// How urgent a request is. A lower number goes first in every queue.
enum class RequestClass : std::uint8_t { Interactive = 0, Evening = 1, Batch = 2 };

/// Name of a class in caller requests: "interactive", "evening" or "batch".
const char *requestClassName(RequestClass requestClass);
/// The class of that name, if there is one.
std::optional<RequestClass> requestClassFromName(const std::string &name);

} // namespace pimentoward
