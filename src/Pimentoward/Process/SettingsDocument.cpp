#include "Pimentoward/Process/SettingsDocument.h"

#include "Pimentoward/Process/OperatorSettings.h"
#include "Pimentoward/Process/SettingsReader.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cassert>

namespace pimentoward {

namespace {

using Json = nlohmann::json;

constexpr const char *serviceScope = "service";
constexpr const char *failureDomainScope = "failure-domain";

bool refuse(Reason &reason, const std::string &why)
{
    reason = {ResultCode::InvalidSetting, why};
    return false;
}

bool checkSetting(const std::string &name, const std::string &value, Reason &reason)
{
    const SettingSpec *spec = findOperatorSetting(name);
    if (spec == nullptr) {
        return refuse(reason, "there is no setting '" + name + "'");
    }
    if (const auto problem = SettingsReader::checkValue(*spec, value)) {
        return refuse(reason, *problem);
    }
    return true;
}

bool checkException(const SettingsException &exception, Reason &reason)
{
    if (exception.target.empty() || exception.target.size() > SettingsDocument::maxNameBytes) {
        return refuse(reason,
                      "the name of an exception's service or failure domain must have 1 to "
                          + std::to_string(SettingsDocument::maxNameBytes) + " bytes");
    }
    if (exception.reason.empty() || exception.reason.size() > SettingsDocument::maxReasonBytes) {
        return refuse(reason,
                      "the exception for '" + exception.target + "' needs a written reason of 1 to "
                          + std::to_string(SettingsDocument::maxReasonBytes) + " bytes");
    }
    const bool isForDomain = exception.scope == ExceptionScope::OneFailureDomain;
    if (exception.setting == operator_settings::outOfService && !isForDomain) {
        return refuse(reason, "'out-of-service' applies to failure domains only");
    }
    return checkSetting(exception.setting, exception.value, reason);
}

bool isRepeated(const std::vector<SettingsException> &exceptions, std::size_t index)
{
    const SettingsException &exception = exceptions[index];
    const auto end = exceptions.begin() + static_cast<std::ptrdiff_t>(index);
    return std::any_of(exceptions.begin(), end, [&](const SettingsException &other) {
        return other.scope == exception.scope && other.target == exception.target
            && other.setting == exception.setting;
    });
}

SettingsException exceptionFromJson(const Json &item, ExceptionScope scope)
{
    return {scope, item.at("target").get<std::string>(), item.at("setting").get<std::string>(),
            item.at("value").get<std::string>(), item.at("reason").get<std::string>()};
}

} // namespace

const char *exceptionScopeName(ExceptionScope scope)
{
    return scope == ExceptionScope::OneFailureDomain ? failureDomainScope : serviceScope;
}

std::optional<ExceptionScope> exceptionScopeFromName(const std::string &name)
{
    if (name == serviceScope) {
        return ExceptionScope::OneService;
    }
    if (name == failureDomainScope) {
        return ExceptionScope::OneFailureDomain;
    }
    return std::nullopt;
}

std::optional<SettingsDocument> SettingsDocument::parse(const std::string &json, Reason &reason)
{
    try {
        const Json root = Json::parse(json);
        SettingsDocument document;
        document.revision = root.at("revision").get<Revision>();
        document.changeId = root.value("changeId", std::string());
        document.defaults = root.at("defaults").get<std::map<std::string, std::string>>();
        for (const Json &item : root.at("exceptions")) {
            const auto scope = exceptionScopeFromName(item.at("scope").get<std::string>());
            if (!scope) {
                refuse(reason, "the scope of an exception must be 'service' or 'failure-domain'");
                return std::nullopt;
            }
            document.exceptions.push_back(exceptionFromJson(item, *scope));
        }
        for (const Json &item : root.value("recentChanges", Json::array())) {
            document.recentChanges.push_back(SettingsChangeRecord::fromJson(item));
        }
        if (!document.check(reason)) {
            return std::nullopt;
        }
        return document;
    } catch (const Json::exception &error) {
        refuse(reason, std::string("the settings are not a valid document: ") + error.what());
        return std::nullopt;
    }
}

std::string SettingsDocument::toJson() const
{
    Json list = Json::array();
    for (const SettingsException &exception : exceptions) {
        list.push_back({{"scope", exceptionScopeName(exception.scope)},
                        {"target", exception.target},
                        {"setting", exception.setting},
                        {"value", exception.value},
                        {"reason", exception.reason}});
    }
    Json recent = Json::array();
    for (const SettingsChangeRecord &record : recentChanges) {
        recent.push_back(record.toJson());
    }
    return Json {{"revision", revision},
                 {"changeId", changeId},
                 {"defaults", defaults},
                 {"exceptions", std::move(list)},
                 {"recentChanges", std::move(recent)}}
        .dump();
}

bool SettingsDocument::contains(const std::string &id) const
{
    return changeId == id
        || std::any_of(recentChanges.begin(), recentChanges.end(),
                       [&](const SettingsChangeRecord &record) { return record.changeId == id; });
}

bool SettingsDocument::check(Reason &reason) const
{
    if (exceptions.size() > maxExceptions) {
        return refuse(reason,
                      "there must be at most " + std::to_string(maxExceptions) + " exceptions");
    }
    for (const auto &[name, value] : defaults) {
        if (name == operator_settings::outOfService) {
            return refuse(reason, "'out-of-service' can be set by exceptions only");
        }
        if (!checkSetting(name, value, reason)) {
            return false;
        }
    }
    for (std::size_t index = 0; index < exceptions.size(); ++index) {
        if (!checkException(exceptions[index], reason)) {
            return false;
        }
        if (isRepeated(exceptions, index)) {
            return refuse(reason,
                          "the exception for '" + exceptions[index].target + "' and '"
                              + exceptions[index].setting + "' is listed twice");
        }
    }
    return true;
}

std::string SettingsDocument::value(const std::string &setting, const ServiceName &service,
                                    const FailureDomain &failureDomain) const
{
    const SettingsException *found = nullptr;
    for (const SettingsException &exception : exceptions) {
        const bool isForDomain = exception.scope == ExceptionScope::OneFailureDomain;
        if (exception.setting != setting
            || exception.target != (isForDomain ? failureDomain : service)) {
            continue;
        }
        if (found == nullptr || isForDomain) {
            found = &exception;
        }
    }
    if (found != nullptr) {
        return found->value;
    }
    if (const auto changed = defaults.find(setting); changed != defaults.end()) {
        return changed->second;
    }
    const SettingSpec *spec = findOperatorSetting(setting);
    assert(spec != nullptr && "setting is not in the operators' table");
    return spec->defaultText;
}

double SettingsDocument::real(const std::string &setting, const ServiceName &service) const
{
    return std::stod(value(setting, service));
}

int SettingsDocument::integer(const std::string &setting, const ServiceName &service) const
{
    return std::stoi(value(setting, service));
}

std::chrono::milliseconds SettingsDocument::milliseconds(const std::string &setting,
                                                         const ServiceName &service) const
{
    return std::chrono::milliseconds(integer(setting, service));
}

bool SettingsDocument::isOutOfService(const FailureDomain &failureDomain) const
{
    return value(operator_settings::outOfService, {}, failureDomain) == "true";
}

} // namespace pimentoward
