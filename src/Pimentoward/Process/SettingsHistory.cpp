#include "Pimentoward/Process/SettingsHistory.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace pimentoward {

namespace {

using Json = nlohmann::json;

bool isOlder(const SettingsChangeRecord &a, const SettingsChangeRecord &b)
{
    return a.revision < b.revision;
}

} // namespace

std::optional<SettingsHistory> SettingsHistory::parse(const std::string &json, Reason &reason)
{
    SettingsHistory history;
    if (json.empty()) {
        return history;
    }
    try {
        for (const Json &item : Json::parse(json)) {
            history.m_records.push_back(SettingsChangeRecord::fromJson(item));
        }
    } catch (const Json::exception &error) {
        reason = {ResultCode::InvalidSetting,
                  std::string("the settings history is not a valid list: ") + error.what()};
        return std::nullopt;
    }
    std::sort(history.m_records.begin(), history.m_records.end(), isOlder);
    return history;
}

std::string SettingsHistory::toJson() const
{
    std::vector<std::string> texts;
    std::size_t size = 2; // the brackets
    for (auto record = m_records.rbegin(); record != m_records.rend(); ++record) {
        std::string text = record->toJson().dump();
        size += text.size() + 1;
        if (size > maxTextBytes) {
            break;
        }
        texts.push_back(std::move(text));
    }
    std::string json = "[";
    for (auto text = texts.rbegin(); text != texts.rend(); ++text) {
        json += (json.size() > 1 ? "," : "") + *text;
    }
    return json + "]";
}

bool SettingsHistory::add(const std::vector<SettingsChangeRecord> &records)
{
    bool added = false;
    for (const SettingsChangeRecord &record : records) {
        const auto position = std::lower_bound(m_records.begin(), m_records.end(), record, isOlder);
        if (position != m_records.end() && position->revision == record.revision) {
            continue;
        }
        m_records.insert(position, record);
        added = true;
    }
    return added;
}

std::optional<std::vector<SettingsDifference>>
SettingsHistory::difference(Revision from, Revision to, Reason &reason) const
{
    std::map<std::pair<std::string, std::string>, SettingsDifference> found;
    Revision lastIncluded = from;
    for (const SettingsChangeRecord &record : m_records) {
        if (record.revision <= from || record.revision > to) {
            continue;
        }
        if (record.revision != lastIncluded + 1) {
            break;
        }
        lastIncluded = record.revision;
        for (const SettingsDifference &difference : record.differences) {
            const auto [entry, isNew]
                = found.emplace(std::pair(difference.place, difference.setting), difference);
            entry->second.after = difference.after;
            entry->second.reason = difference.reason;
        }
    }
    if (from > to || lastIncluded != to) {
        reason = {ResultCode::InvalidSetting,
                  "the settings history does not cover the changes from revision "
                      + std::to_string(from) + " to " + std::to_string(to)};
        return std::nullopt;
    }
    std::vector<SettingsDifference> differences;
    for (auto &[key, difference] : found) {
        if (difference.before != difference.after) {
            differences.push_back(std::move(difference));
        }
    }
    return differences;
}

} // namespace pimentoward
