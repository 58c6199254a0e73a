#include "Pimentoward/Process/OperatorSettings.h"

namespace pimentoward {

const std::vector<SettingSpec> &operatorSettingsTable()
{
    using namespace operator_settings;
    using Kind = SettingKind;
    static const std::vector<SettingSpec> table {
        {queryDeadline, Kind::Milliseconds, "1000", "Deadline of a query whose caller gives none.",
         1, 600'000, "", false},
        {answerMargin, Kind::Milliseconds, "5",
         "Time before the deadline, at most a tenth of it, at which the answer is sent.", 0, 60'000,
         "", false},
        {partialAnswer, Kind::Choice, timeFirstMode,
         "Whether a query is answered at its deadline with the coverage reached, or fails below "
         "the target.",
         0, 0, "time-first,coverage-first", false},
        {coverageTarget, Kind::Real, "100",
         "Coverage below which a coverage-first query is an error.", 0, 100, "", false},
        {hedgeBudget, Kind::Real, "5", "Hedges allowed, as a percentage of primary subrequests.", 0,
         100, "", false},
        {hedgeQuantile, Kind::Real, "95",
         "A subrequest is hedged once it has taken longer than this percentage of its service's "
         "subrequests.",
         50, 99.9, "", false},
        {retryBudget, Kind::Real, "5", "Retries allowed, as a percentage of primary subrequests.",
         0, 100, "", false},
        {ownerQueueLimit, Kind::Integer, "64", "Subrequests that may wait for one backend server.",
         1, 100'000, "", false},
        {entryQueueLimit, Kind::Integer, "512", "Caller requests that one VM runs at a time.", 1,
         100'000, "", false},
        {coldLimit, Kind::Integer, "1",
         "Subrequests that a cold backend server receives at a time.", 1, 1000, "", false},
        {coldFactor, Kind::Real, "4",
         "A backend server counts as cold while its service time exceeds this multiple of normal.",
         1.5, 100, "", false},
        {outOfService, Kind::Flag, "false",
         "True takes a failure domain out of service: its backend servers get no new work.", 0, 0,
         "", false},
    };
    return table;
}

const SettingSpec *findOperatorSetting(const std::string &name)
{
    for (const SettingSpec &spec : operatorSettingsTable()) {
        if (spec.name == name) {
            return &spec;
        }
    }
    return nullptr;
}

} // namespace pimentoward
