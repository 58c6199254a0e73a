#include "Pimentoward/Process/SettingsChange.h"

#include "Pimentoward/Core/BoundedJson.h"
#include "Pimentoward/Process/OperatorSettings.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace pimentoward {

namespace {

using Json = nlohmann::json;
using Kind = SettingsChangeKind;

struct KindName
{
    Kind kind;
    const char *name;
};

constexpr std::array<KindName, 6> kindNames {{{Kind::SetDefault, "set-default"},
                                              {Kind::UnsetDefault, "unset-default"},
                                              {Kind::AddException, "add-exception"},
                                              {Kind::RemoveException, "remove-exception"},
                                              {Kind::TakeDomainOut, "take-domain-out"},
                                              {Kind::BringDomainBack, "bring-domain-back"}}};

bool refuse(Reason &reason, ResultCode code, const std::string &why)
{
    reason = {code, why};
    return false;
}

bool isException(Kind kind)
{
    return kind == Kind::AddException || kind == Kind::RemoveException;
}

/// Reads one string field. An optional field that is missing leaves `field` unchanged.
bool readText(const Json &root, const char *name, bool required, std::string &field, Reason &reason)
{
    const auto found = root.find(name);
    if (found == root.end() && !required) {
        return true;
    }
    if (found == root.end() || !found->is_string()) {
        return refuse(reason, ResultCode::MissingField,
                      "the field '" + std::string(name) + "' must be a string");
    }
    field = found->get<std::string>();
    return true;
}

bool readKind(const Json &root, Kind &kind, Reason &reason)
{
    std::string name;
    if (!readText(root, "change", true, name, reason)) {
        return false;
    }
    const auto found = std::find_if(kindNames.begin(), kindNames.end(),
                                    [&](const KindName &entry) { return entry.name == name; });
    if (found == kindNames.end()) {
        return refuse(reason, ResultCode::InvalidSetting,
                      "the field 'change' must be one of set-default, unset-default, "
                      "add-exception, remove-exception, take-domain-out, bring-domain-back");
    }
    kind = found->kind;
    return true;
}

bool readScope(const Json &root, SettingsChange &change, Reason &reason)
{
    std::string name;
    if (!readText(root, "scope", true, name, reason)) {
        return false;
    }
    const auto scope = exceptionScopeFromName(name);
    if (!scope) {
        return refuse(reason, ResultCode::InvalidSetting,
                      "the field 'scope' must be 'service' or 'failure-domain'");
    }
    change.scope = *scope;
    return true;
}

bool readFields(const Json &root, SettingsChange &change, Reason &reason)
{
    if (!readKind(root, change.kind, reason)) {
        return false;
    }
    const auto revision = root.find("expectedRevision");
    if (revision == root.end() || !revision->is_number_unsigned()) {
        return refuse(
            reason, ResultCode::MissingField,
            "the field 'expectedRevision' must be the revision number that the change is based on");
    }
    change.expectedRevision = revision->get<Revision>();
    const bool changesDomain
        = change.kind == Kind::TakeDomainOut || change.kind == Kind::BringDomainBack;
    const bool needsValue = change.kind == Kind::SetDefault || change.kind == Kind::AddException;
    const bool needsReason
        = change.kind == Kind::AddException || change.kind == Kind::TakeDomainOut;
    const bool hasTarget = changesDomain || isException(change.kind);
    return readText(root, "changeId", true, change.changeId, reason)
        && readText(root, "author", false, change.author, reason)
        && readText(root, "reason", needsReason, change.reason, reason)
        && readText(root, "setting", !changesDomain, change.setting, reason)
        && readText(root, "value", needsValue, change.value, reason)
        && readText(root, "target", hasTarget, change.target, reason)
        && (!isException(change.kind) || readScope(root, change, reason));
}

bool checkLengths(const SettingsChange &change, Reason &reason)
{
    constexpr std::size_t maxBytes = SettingsDocument::maxNameBytes;
    if (change.changeId.empty() || change.changeId.size() > maxBytes) {
        return refuse(reason, ResultCode::InvalidSetting,
                      "the field 'changeId' must have 1 to 200 bytes");
    }
    if (change.author.size() > maxBytes) {
        return refuse(reason, ResultCode::InvalidSetting,
                      "the field 'author' must have at most 200 bytes");
    }
    if (change.reason.size() > SettingsDocument::maxReasonBytes) {
        return refuse(reason, ResultCode::InvalidSetting,
                      "the field 'reason' must have at most 500 bytes");
    }
    return true;
}

auto findException(std::vector<SettingsException> &exceptions, ExceptionScope scope,
                   const std::string &target, const std::string &setting)
{
    return std::find_if(exceptions.begin(), exceptions.end(), [&](const SettingsException &entry) {
        return entry.scope == scope && entry.target == target && entry.setting == setting;
    });
}

bool addException(SettingsDocument &next, const SettingsException &exception)
{
    const auto found
        = findException(next.exceptions, exception.scope, exception.target, exception.setting);
    if (found == next.exceptions.end()) {
        next.exceptions.push_back(exception);
    } else {
        *found = exception;
    }
    return true;
}

bool removeException(SettingsDocument &next, ExceptionScope scope, const std::string &target,
                     const std::string &setting, Reason &reason)
{
    const auto found = findException(next.exceptions, scope, target, setting);
    if (found == next.exceptions.end()) {
        return refuse(reason, ResultCode::InvalidSetting,
                      "there is no exception for " + std::string(exceptionScopeName(scope)) + " '"
                          + target + "' and '" + setting + "'");
    }
    next.exceptions.erase(found);
    return true;
}

bool applyChange(const SettingsChange &change, SettingsDocument &next, Reason &reason)
{
    constexpr auto domain = ExceptionScope::OneFailureDomain;
    const char *out = operator_settings::outOfService;
    switch (change.kind) {
    case Kind::SetDefault:
        next.defaults[change.setting] = change.value;
        return true;
    case Kind::UnsetDefault:
        if (next.defaults.erase(change.setting) == 0) {
            return refuse(reason, ResultCode::InvalidSetting,
                          "the default of '" + change.setting + "' has not been changed");
        }
        return true;
    case Kind::AddException:
        return addException(
            next, {change.scope, change.target, change.setting, change.value, change.reason});
    case Kind::RemoveException:
        return removeException(next, change.scope, change.target, change.setting, reason);
    case Kind::TakeDomainOut:
        return addException(next, {domain, change.target, out, "true", change.reason});
    case Kind::BringDomainBack:
        return removeException(next, domain, change.target, out, reason);
    }
    return refuse(reason, ResultCode::InternalError, "unknown kind of change");
}

} // namespace

std::optional<SettingsChange> SettingsChange::parse(const std::string &json, Reason &reason)
{
    const Json root = parseJson(json);
    if (!root.is_object()) {
        refuse(reason, ResultCode::MalformedRequest, "a change must be a JSON object");
        return std::nullopt;
    }
    SettingsChange change;
    if (!readFields(root, change, reason) || !checkLengths(change, reason)) {
        return std::nullopt;
    }
    return change;
}

std::string SettingsChange::toJson() const
{
    const auto found = std::find_if(kindNames.begin(), kindNames.end(),
                                    [&](const KindName &entry) { return entry.kind == kind; });
    Json root {{"change", found->name},
               {"expectedRevision", expectedRevision},
               {"changeId", changeId},
               {"author", author},
               {"reason", reason},
               {"setting", setting},
               {"value", value},
               {"target", target},
               {"scope", exceptionScopeName(scope)}};
    constexpr auto replaceInvalidText = Json::error_handler_t::replace;
    return root.dump(-1, ' ', false, replaceInvalidText);
}

std::optional<SettingsDocument> SettingsChange::applyTo(const SettingsDocument &document,
                                                        WallTime now, Reason &failure) const
{
    if (document.revision != expectedRevision) {
        refuse(failure, ResultCode::RevisionConflict,
               "revision " + std::to_string(document.revision)
                   + " is in force, but the change is based on revision "
                   + std::to_string(expectedRevision) + "; read the settings again");
        return std::nullopt;
    }
    SettingsDocument next = document;
    next.revision = document.revision + 1;
    next.changeId = changeId;
    if (!checkLengths(*this, failure) || !applyChange(*this, next, failure)
        || !next.check(failure)) {
        return std::nullopt;
    }
    next.recentChanges.push_back({next.revision, changeId, author, now, reason,
                                  SettingsDifference::between(document, next)});
    if (next.recentChanges.size() > SettingsDocument::maxRecentChanges) {
        next.recentChanges.erase(next.recentChanges.begin());
    }
    return next;
}

} // namespace pimentoward
