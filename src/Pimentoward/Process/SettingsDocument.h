#pragma once

#include "Pimentoward/Core/Reason.h"
#include "Pimentoward/Core/Types.h"
#include "Pimentoward/Process/SettingsChangeRecord.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pimentoward {

/// What an exception applies to.
enum class ExceptionScope { OneService, OneFailureDomain };

/// Returns "service" or "failure-domain".
const char *exceptionScopeName(ExceptionScope scope);
/// Returns the scope with this name, or nullopt.
std::optional<ExceptionScope> exceptionScopeFromName(const std::string &name);

/// A value that operators have set for one service or one failure domain instead of the default.
struct SettingsException
{
    ExceptionScope scope = ExceptionScope::OneService;
    /// Name of the service or failure domain.
    std::string target;
    std::string setting;
    std::string value;
    /// Why the exception was made; never empty.
    std::string reason;
};

/// One revision of the operators' settings: changed defaults and a short list of exceptions. An
/// accepted document is never modified; a change creates a document with the next revision.
struct SettingsDocument
{
    static constexpr std::size_t maxExceptions = 64;
    static constexpr std::size_t maxReasonBytes = 500;
    static constexpr std::size_t maxNameBytes = 200; // for targets, authors and change IDs
    /// Maximum number of recent change records in a document. If a write to the history is lost, a
    /// later write adds the lost records from here.
    static constexpr std::size_t maxRecentChanges = 4;

    Revision revision = 0;
    /// Unique ID of the change that created this revision. It shows whether a write of unknown
    /// outcome took effect.
    std::string changeId;
    /// The defaults that operators have changed, by name of the setting.
    std::map<std::string, std::string> defaults;
    std::vector<SettingsException> exceptions;
    /// Records of the most recent changes, oldest first.
    std::vector<SettingsChangeRecord> recentChanges;

    /// Parses and checks the stored JSON text. Fails with InvalidSetting.
    static std::optional<SettingsDocument> parse(const std::string &json, Reason &reason);
    /// Returns the JSON text that parse() reads.
    std::string toJson() const;
    /// True if the change with this ID created this revision or one of the recent ones.
    bool contains(const std::string &id) const;
    /// Checks names, values and reasons, that no exception is listed twice, and that there are at
    /// most maxExceptions of them. Fails with InvalidSetting.
    bool check(Reason &reason) const;

    /// Returns the value in force of a setting for a service and a failure domain, either of which
    /// may be empty. An exception overrides the default, and an exception for a failure domain
    /// overrides one for a service. A name that is not in the operators' table is a programming
    /// error.
    std::string value(const std::string &setting, const ServiceName &service = {},
                      const FailureDomain &failureDomain = {}) const;
    double real(const std::string &setting, const ServiceName &service = {}) const;
    int integer(const std::string &setting, const ServiceName &service = {}) const;
    std::chrono::milliseconds milliseconds(const std::string &setting,
                                           const ServiceName &service = {}) const;
    /// True if operators have taken the failure domain out of service.
    bool isOutOfService(const FailureDomain &failureDomain) const;
};

} // namespace pimentoward
