#pragma once

#include "Pimentoward/Core/Reason.h"
#include "Pimentoward/Process/SettingsChangeRecord.h"

#include <optional>
#include <string>
#include <vector>

namespace pimentoward {

/// The history of settings changes, which is one value in the store. The oldest records are dropped
/// when the text would become too long.
class SettingsHistory
{
public:
    /// Maximum size of the stored text; below the store's limit of 1 MB for a value.
    static constexpr std::size_t maxTextBytes = 900'000;

    /// Parses the stored text. An empty text is an empty history. Fails with InvalidSetting.
    static std::optional<SettingsHistory> parse(const std::string &json, Reason &reason);
    /// Returns the text that parse() reads, without the oldest records if it would otherwise be too
    /// long.
    std::string toJson() const;

    /// Adds the records whose revisions the history does not hold yet. Returns true if it added
    /// any.
    bool add(const std::vector<SettingsChangeRecord> &records);
    /// All records, oldest first.
    const std::vector<SettingsChangeRecord> &records() const { return m_records; }
    /// Returns what changed after revision `from` up to revision `to`. Fails with InvalidSetting if
    /// `from` is greater than `to` or a record in between is missing.
    std::optional<std::vector<SettingsDifference>> difference(Revision from, Revision to,
                                                              Reason &reason) const;

private:
    std::vector<SettingsChangeRecord> m_records;
};

} // namespace pimentoward
