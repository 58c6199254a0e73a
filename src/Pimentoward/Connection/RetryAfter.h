#pragma once

#include "Pimentoward/Connection/HttpHeaders.h"
#include "Pimentoward/Core/Types.h"

#include <optional>
#include <string>

namespace pimentoward {

/// Longest time that is taken from a Retry-After field; a longer one counts as this.
constexpr std::chrono::minutes maxRetryAfter {10};

/// Reads how long a reply asks its receiver to wait before the next request. Accepts seconds, also
/// with a fraction, and a date, which counts from the reply's own Date field because clocks of VMs
/// and backend servers differ. Returns nothing if the field is missing, negative or malformed, or
/// holds a date without a Date field.
std::optional<Duration> retryAfter(const HttpHeaders &headers);

/// Returns the value of a Retry-After field that asks for `time`, in seconds with a fraction.
std::string retryAfterText(Duration time);

} // namespace pimentoward
