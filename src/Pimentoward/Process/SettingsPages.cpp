#include "Pimentoward/Process/SettingsPages.h"

#include "Pimentoward/Core/ResultCode.h"
#include "Pimentoward/Process/DaemonSettings.h"
#include "Pimentoward/Process/OperatorSettings.h"
#include "Pimentoward/Process/SettingsDocument.h"

namespace pimentoward {

namespace {

constexpr const char *generatedNote
    = "This page is generated from the code's tables by `tools/pages`; a test compares them.\n";

std::string settingsRows(const std::vector<SettingSpec> &table, bool withVariable)
{
    std::string rows = withVariable ? "| flag | variable | default | allowed | meaning |\n"
                                      "|---|---|---|---|---|\n"
                                    : "| setting | default | allowed | meaning |\n"
                                      "|---|---|---|---|\n";
    for (const SettingSpec &spec : table) {
        const bool isRequired = spec.defaultText.empty() && !spec.optional;
        const std::string byDefault = spec.defaultText.empty() ? (isRequired ? "required" : "none")
                                                               : '`' + spec.defaultText + '`';
        rows += withVariable
            ? "| `--" + spec.name + "` | `" + SettingsReader::variableName(spec.name) + "` | "
            : "| `" + spec.name + "` | ";
        rows
            += byDefault + " | " + SettingsReader::allowedValues(spec) + " | " + spec.help + " |\n";
    }
    return rows;
}

std::string operatorRules()
{
    return "Operators change these while the tier runs, with `pimentoctl settings` or by HTTP "
           "(`POST /settings`)\non any VM. Together they are one numbered document. A change names "
           "the revision that it is based on:\nif another change was made first, it is refused, "
           "never merged. It is accepted once it is in force on every\nVM that serves.\n\n"
           "An exception sets a setting for one `service` or one `failure-domain`, with a written "
           "reason of 1 to "
        + std::to_string(SettingsDocument::maxReasonBytes) + "\nbytes. There may be at most "
        + std::to_string(SettingsDocument::maxExceptions)
        + " exceptions. An exception overrides the default, and one for a failure\ndomain "
          "overrides "
          "one for a service.\n\n"
          "A VM that receives settings that its version does not know stops serving: change a "
          "setting that is new in a\nversion only once all VMs run that version.\n\n";
}

/// What `pimento-tier` derives from the limits of its VM in the platform's settings file.
std::string callerLimits()
{
    return "\n## Limits of callers, `pimento-tier`\n\n"
           "Derived at start from the VM's `limits` in the platform's settings file; without them "
           "there is no limit.\n\n"
           "| limit | default | meaning |\n|---|---|---|\n"
           "| `caller-memory` | a quarter of `memoryMb` | Memory of all connections of callers "
           "together: heads, bodies, requests that run, replies that are not taken. |\n"
           "| `large-requests` | three quarters of `caller-memory` | What connections with more "
           "than 32 KB each may take of it; the rest is for small requests. |\n"
           "| `caller-connections` | `maxFds` less 200 for files, 64 for the VM's other addresses "
           "and links, and what backend servers use (a quarter at least); at most 4 KB each in "
           "half "
           "of `caller-memory` | Connections of callers. |\n";
}

} // namespace

std::string SettingsPages::resultCodes()
{
    std::string page = std::string("# Result codes\n\n") + generatedNote
        + "\nEvery answer carries one of these numbers in its field `code` and the name in "
          "`result`.\nWhere the name begins with `not-run` no backend server ran the request.\n\n"
          "| code | name | HTTP status | meaning |\n|---|---|---|---|\n";
    for (const ResultCodeInfo &info : resultCodeTable()) {
        page += "| " + std::to_string(static_cast<int>(info.code)) + " | `" + std::string(info.name)
            + "` | " + std::to_string(info.httpStatus) + " | " + std::string(info.meaning) + " |\n";
    }
    return page;
}

std::string SettingsPages::settings()
{
    return std::string("# Settings\n\n") + generatedNote + "\n## Operators' settings\n\n"
        + operatorRules() + settingsRows(operatorSettingsTable(), false)
        + "\n## Settings of `pimentod`\n\nRead at start: a flag overrides a variable, a variable "
          "overrides the default. `--check` only checks,\n`--print-settings` shows each value and "
          "where it came from. Exit codes: 0 success, 1 failure, 2 invalid\nsettings, 3 an address "
          "cannot be listened on.\n\n"
        + settingsRows(daemonSettingsTable(), true) + callerLimits();
}

} // namespace pimentoward
