#include "Pimentoward/Process/SettingsChangeRecord.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace pimentoward {

namespace {

using Json = nlohmann::json;

constexpr std::int64_t maxMilliseconds = 9'000'000'000'000; // a time in the year 2255

Json valueToJson(const std::optional<std::string> &value)
{
    return value ? Json(*value) : Json();
}

std::optional<std::string> valueFromJson(const Json &json)
{
    return json.is_null() ? std::nullopt : std::optional(json.get<std::string>());
}

} // namespace

Json differenceToJson(const SettingsDifference &difference)
{
    return {{"place", difference.place},
            {"setting", difference.setting},
            {"before", valueToJson(difference.before)},
            {"after", valueToJson(difference.after)},
            {"reason", difference.reason}};
}

Json SettingsChangeRecord::toJson() const
{
    Json list = Json::array();
    for (const SettingsDifference &difference : differences) {
        list.push_back(differenceToJson(difference));
    }
    const auto milliseconds
        = std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch());
    return {{"revision", revision}, {"changeId", changeId},
            {"author", author},     {"atMs", milliseconds.count()},
            {"reason", reason},     {"differences", std::move(list)}};
}

SettingsChangeRecord SettingsChangeRecord::fromJson(const Json &json)
{
    SettingsChangeRecord record;
    record.revision = json.at("revision").get<Revision>();
    record.changeId = json.at("changeId").get<std::string>();
    record.author = json.at("author").get<std::string>();
    // Without this bound, the conversion to the finer ticks of the clock could overflow.
    record.at = WallTime(std::chrono::milliseconds(
        std::clamp<std::int64_t>(json.at("atMs").get<std::int64_t>(), 0, maxMilliseconds)));
    record.reason = json.at("reason").get<std::string>();
    for (const Json &item : json.at("differences")) {
        record.differences.push_back(
            {item.at("place").get<std::string>(), item.at("setting").get<std::string>(),
             valueFromJson(item.at("before")), valueFromJson(item.at("after")),
             item.at("reason").get<std::string>()});
    }
    return record;
}

} // namespace pimentoward
