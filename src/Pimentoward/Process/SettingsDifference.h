#pragma once

#include <optional>
#include <string>
#include <vector>

namespace pimentoward {

struct SettingsDocument;

/// A value, or the reason for it, that differs between two settings documents.
struct SettingsDifference
{
    /// Where the value is set: "default", "service NAME" or "failure-domain NAME".
    std::string place;
    std::string setting;
    /// Value in the older document; nullopt if it is not set there.
    std::optional<std::string> before;
    /// Value in the newer document; nullopt if it is not set there.
    std::optional<std::string> after;
    /// Reason of the exception in the newer document, or in the older one if the newer has none.
    /// Empty for defaults.
    std::string reason;

    /// Returns one line, such as "service coach-app query-deadline-ms: 500 -> 700 (reason)".
    std::string toText() const;
    /// Returns all differences, sorted by place and setting.
    static std::vector<SettingsDifference> between(const SettingsDocument &older,
                                                   const SettingsDocument &newer);
};

} // namespace pimentoward
