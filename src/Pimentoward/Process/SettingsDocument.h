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

/// "service" or "failure-domain".
const char *exceptionScopeName(ExceptionScope scope);
/// The scope of that name, or nothing.
std::optional<ExceptionScope> exceptionScopeFromName(const std::string &name);

/// One operator's exception from a default.
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

/// The operators' numbered settings: defaults and a short list of exceptions. Immutable once
/// accepted; a change makes a document of the next revision.
struct SettingsDocument
{
    static constexpr std::size_t maxExceptions = 64;
    static constexpr std::size_t maxReasonBytes = 500; // bytes
    static constexpr std::size_t maxNameBytes = 200; // bytes; targets, authors, change ids
    /// Records of the last changes that a document carries, so that a lost write of the history
    /// is made good by the next one.
    static constexpr std::size_t maxRecentChanges = 4;

    Revision revision = 0;
    /// Unique id of the change that made this revision; resolves unsure writes.
    std::string changeId;
    /// Defaults that differ from the table's.
    std::map<std::string, std::string> defaults;
    std::vector<SettingsException> exceptions;
    /// The last changes, oldest first.
    std::vector<SettingsChangeRecord> recentChanges;

    /// Reads and checks the stored JSON text; fails with InvalidSetting.
    static std::optional<SettingsDocument> parse(const std::string &json, Reason &reason);
    /// The text that parse() reads.
    std::string toJson() const;
    /// True where the change made this revision or one of the recent ones.
    bool contains(const std::string &id) const;
    /// Checks names, values, reasons, repeats and the cap on exceptions; fails with InvalidSetting.
    bool check(Reason &reason) const;

    /// The value in force of a setting for a service and/or failure domain (either may be empty).
    /// An exception goes before a default; one for a failure domain before one for a service.
    std::string value(const std::string &setting, const ServiceName &service = {},
                      const FailureDomain &failureDomain = {}) const;
    double real(const std::string &setting, const ServiceName &service = {}) const;
    int integer(const std::string &setting, const ServiceName &service = {}) const;
    std::chrono::milliseconds milliseconds(const std::string &setting,
                                           const ServiceName &service = {}) const;
    /// True where operators have taken the failure domain out.
    bool isOut(const FailureDomain &failureDomain) const;
};

} // namespace pimentoward
