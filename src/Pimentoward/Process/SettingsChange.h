#pragma once

#include "Pimentoward/Process/SettingsDocument.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>

namespace pimentoward {

/// What a change does to the operators' settings.
enum class SettingsChangeKind {
    SetDefault,
    UnsetDefault,
    /// Adds an exception, or replaces the value and reason of the one that stands there.
    AddException,
    RemoveException,
    /// Takes a failure domain out of service.
    TakeDomainOut,
    /// Brings a failure domain back into service.
    BringDomainBack
};

/// One operator's change, from which the next revision is made.
struct SettingsChange
{
    SettingsChangeKind kind = SettingsChangeKind::SetDefault;
    /// The revision that the operator saw; another one in force is a conflict.
    Revision expectedRevision = 0;
    /// Unique id given by the operator's tool; a repeat of the id is the same change.
    std::string changeId;
    std::string author;
    /// Required for exceptions and for taking a failure domain out.
    std::string reason;
    /// Unused where a failure domain is taken out or brought back.
    std::string setting;
    std::string value;
    ExceptionScope scope = ExceptionScope::OneService;
    /// Service or failure domain of an exception.
    std::string target;

    /// Reads the JSON body of POST /settings. Fails with MalformedRequest, MissingField or
    /// InvalidSetting.
    static std::optional<SettingsChange> parse(const std::string &json, Reason &reason);
    /// The text that parse() reads.
    std::string toJson() const;

    /// The document of the next revision. `now` is noted in its history record. Fails with
    /// RevisionConflict where `document` is of another revision than expected, else with
    /// InvalidSetting.
    std::optional<SettingsDocument> applyTo(const SettingsDocument &document, WallTime now,
                                            Reason &reason) const;
};

} // namespace pimentoward
