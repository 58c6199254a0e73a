#include "Pimentoward/Process/SettingsDifference.h"

#include "Pimentoward/Process/SettingsDocument.h"

#include <map>
#include <utility>

namespace pimentoward {

namespace {

struct Entry
{
    std::string value;
    std::string reason;
};

/// All values that a document sets, by place and setting.
using Entries = std::map<std::pair<std::string, std::string>, Entry>;

Entries entriesOf(const SettingsDocument &document)
{
    Entries entries;
    for (const auto &[setting, value] : document.defaults) {
        entries[{"default", setting}] = {value, {}};
    }
    for (const SettingsException &exception : document.exceptions) {
        const std::string place
            = std::string(exceptionScopeName(exception.scope)) + ' ' + exception.target;
        entries[{place, exception.setting}] = {exception.value, exception.reason};
    }
    return entries;
}

} // namespace

std::string SettingsDifference::toText() const
{
    const auto shown = [](const std::optional<std::string> &value) {
        return value ? *value : std::string("(not set)");
    };
    return place + ' ' + setting + ": " + shown(before) + " -> " + shown(after)
        + (reason.empty() ? "" : " (" + reason + ")");
}

std::vector<SettingsDifference> SettingsDifference::between(const SettingsDocument &older,
                                                            const SettingsDocument &newer)
{
    const Entries before = entriesOf(older);
    const Entries after = entriesOf(newer);
    std::map<std::pair<std::string, std::string>, SettingsDifference> found;
    for (const auto &[key, entry] : before) {
        found[key] = {key.first, key.second, entry.value, std::nullopt, entry.reason};
    }
    for (const auto &[key, entry] : after) {
        SettingsDifference &difference = found[key];
        difference.place = key.first;
        difference.setting = key.second;
        difference.after = entry.value;
        difference.reason = entry.reason;
    }
    std::vector<SettingsDifference> differences;
    for (const auto &[key, difference] : found) {
        const auto old = before.find(key);
        const bool sameReason = old == before.end() || old->second.reason == difference.reason;
        if (difference.before != difference.after || !sameReason) {
            differences.push_back(difference);
        }
    }
    return differences;
}

} // namespace pimentoward
