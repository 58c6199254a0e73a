#pragma once

#include "Pimentoward/Sharing/RateGranter.h"

#include <optional>
#include <string>

namespace pimentoward {

/// Encodes the content of sections about rate limits.
std::string encode(const RateQuestion &question);
std::string encode(const RateAnswer &answer);
/// Decode such content. Return nothing if it is malformed or a number is out of range.
std::optional<RateQuestion> decodeRateQuestion(const std::string &bytes);
std::optional<RateAnswer> decodeRateAnswer(const std::string &bytes);

} // namespace pimentoward
