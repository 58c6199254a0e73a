#pragma once

#include "Pimentoward/Core/Reason.h"
#include "Pimentoward/Process/SettingsChangeRecord.h"

#include <optional>
#include <string>
#include <vector>

namespace pimentoward {

/// The changes made so far, as one value of the store; the oldest are dropped once it is full.
class SettingsHistory
{
public:
    /// Longest stored text, in bytes; below the store's limit of 1 MB for a value.
    static constexpr std::size_t maxTextBytes = 900'000;

    /// Reads the stored text; an empty one is an empty history. Fails with InvalidSetting.
    static std::optional<SettingsHistory> parse(const std::string &json, Reason &reason);
    /// The text that parse() reads, with the oldest records dropped where it would be too long.
    std::string toJson() const;

    /// Adds the records that are not there yet, by revision; true where any was new.
    bool add(const std::vector<SettingsChangeRecord> &records);
    /// All records, oldest first.
    const std::vector<SettingsChangeRecord> &records() const { return m_records; }
    /// What changed after revision `from` up to revision `to`. Fails with InvalidSetting where
    /// `from` is above `to` or a record between them is missing.
    std::optional<std::vector<SettingsDifference>> difference(Revision from, Revision to,
                                                              Reason &reason) const;

private:
    std::vector<SettingsChangeRecord> m_records;
};

} // namespace pimentoward
