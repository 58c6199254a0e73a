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
    /// Adds an exception, or replaces the value and reason of an existing one.
    AddException,
    RemoveException,
    /// Takes a failure domain out of service.
    TakeDomainOut,
    /// Brings a failure domain back into service.
    BringDomainBack
};

/// One change that an operator makes to the settings. Applying it creates the next revision.
struct SettingsChange
{
    SettingsChangeKind kind = SettingsChangeKind::SetDefault;
    /// The revision on which the change is based. If another one is in force, the change conflicts.
    Revision expectedRevision = 0;
    /// Unique ID given by the operator's tool. A request that repeats the ID is a retry of the same
    /// change.
    std::string changeId;
    std::string author;
    /// Required for exceptions and for taking a failure domain out.
    std::string reason;
    /// Unused, like `value`, if the change takes a failure domain out or brings it back.
    std::string setting;
    std::string value;
    ExceptionScope scope = ExceptionScope::OneService;
    /// Name of the service or failure domain that the change applies to; unused for defaults.
    std::string target;

    /// Parses the JSON body of POST /settings. Fails with MalformedRequest, MissingField or
    /// InvalidSetting.
    static std::optional<SettingsChange> parse(const std::string &json, Reason &reason);
    /// Returns the JSON text that parse() reads.
    std::string toJson() const;

    /// Returns the document of the next revision. `now` becomes the time of its history record.
    /// Fails with RevisionConflict if the revision of `document` is not the expected one, and with
    /// InvalidSetting if the change is not valid.
    std::optional<SettingsDocument> applyTo(const SettingsDocument &document, WallTime now,
                                            Reason &failure) const;
};

} // namespace pimentoward
