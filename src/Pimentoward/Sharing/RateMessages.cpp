#include "Pimentoward/Sharing/RateMessages.h"

#include "Pimentoward/Core/BoundedJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace pimentoward {

namespace {

using Json = nlohmann::json;

constexpr std::size_t maxKeyBytes = 512;
/// Maximum number of requests in a message.
constexpr std::uint64_t maxCount = 100'000;
/// Maximum time in a message, in microseconds.
constexpr std::uint64_t maxMicroseconds = 3'600'000'000;

std::string pack(const Json &json)
{
    const std::vector<std::uint8_t> bytes = Json::to_cbor(json);
    return {bytes.begin(), bytes.end()};
}

std::uint64_t microseconds(Duration time)
{
    const auto count = std::chrono::duration_cast<std::chrono::microseconds>(time).count();
    return std::min(static_cast<std::uint64_t>(std::max<std::int64_t>(count, 0)), maxMicroseconds);
}

bool isUnsigned(const Json &json, std::uint64_t maximum)
{
    return json.is_number_unsigned() && json.get<std::uint64_t>() <= maximum;
}

} // namespace

std::string encode(const RateQuestion &question)
{
    return pack(Json::array({question.key, std::min<std::uint64_t>(question.wanted, maxCount),
                             std::min<std::uint64_t>(question.refused, maxCount)}));
}

std::string encode(const RateAnswer &answer)
{
    // Nothing but an empty list says that this VM does not grant the part.
    return pack(answer.isGranting ? Json::array({answer.granted, microseconds(answer.nextToken),
                                                 microseconds(answer.retryAfter), answer.isReduced})
                                  : Json::array());
}

std::optional<RateQuestion> decodeRateQuestion(const std::string &bytes)
{
    const Json json = parseCbor(bytes);
    const bool isValid = json.is_array() && json.size() >= 3 && json[0].is_string()
        && json[0].get_ref<const std::string &>().size() <= maxKeyBytes
        && isUnsigned(json[1], maxCount) && isUnsigned(json[2], maxCount);
    if (!isValid) {
        return std::nullopt;
    }
    return RateQuestion {json[0].get<std::string>(), json[1].get<std::size_t>(),
                         json[2].get<std::size_t>()};
}

std::optional<RateAnswer> decodeRateAnswer(const std::string &bytes)
{
    const Json json = parseCbor(bytes);
    if (json.is_array() && json.empty()) {
        return RateAnswer {};
    }
    const bool isValid = json.is_array() && json.size() >= 4 && isUnsigned(json[0], maxCount)
        && isUnsigned(json[1], maxMicroseconds) && isUnsigned(json[2], maxMicroseconds)
        && json[3].is_boolean();
    if (!isValid) {
        return std::nullopt;
    }
    RateAnswer answer;
    answer.isGranting = true;
    answer.granted = json[0].get<std::size_t>();
    answer.nextToken = std::chrono::microseconds(json[1].get<std::int64_t>());
    answer.retryAfter = std::chrono::microseconds(json[2].get<std::int64_t>());
    answer.isReduced = json[3].get<bool>();
    return answer;
}

} // namespace pimentoward
