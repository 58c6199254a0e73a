#pragma once

#include <optional>
#include <string>
#include <vector>

namespace pimentoward {

struct SettingsDocument;

/// One value that differs between two settings documents.
struct SettingsDifference
{
    /// "default", "service NAME" or "failure-domain NAME".
    std::string place;
    std::string setting;
    /// Value in the older document; nothing where it was not set there.
    std::optional<std::string> before;
    /// Value in the newer document; nothing where it is no longer set.
    std::optional<std::string> after;
    /// Written reason of the newer document's exception, else of the older one's; empty for
    /// defaults.
    std::string reason;

    /// One line: "service coach-app query-deadline-ms: 500 -> 700 (reason)".
    std::string toText() const;
    /// All differences, in the order of their places and settings.
    static std::vector<SettingsDifference> between(const SettingsDocument &older,
                                                   const SettingsDocument &newer);
};

} // namespace pimentoward
