#include "Pimentoward/Process/DaemonSettings.h"

namespace pimentoward {

namespace {

/// Two listeners on one address would fail only once the second binds; say so at the check.
std::optional<std::string> checkAddressesDiffer(const ResolvedSettings &settings)
{
    const std::vector<std::string> names {"caller-listen", "operator-listen", "data-listen",
                                          "control-listen"};
    for (std::size_t a = 0; a < names.size(); ++a) {
        for (std::size_t b = a + 1; b < names.size(); ++b) {
            if (settings.text(names[a]) == settings.text(names[b])) {
                return "settings '" + names[a] + "' and '" + names[b] + "' have the same value '"
                    + settings.text(names[a]) + "'; allowed: different addresses";
            }
        }
    }
    return std::nullopt;
}

/// A planned stop must last longer than the wait for the balancer at its beginning.
std::optional<std::string> checkDrainLimit(const ResolvedSettings &settings)
{
    if (settings.integer("drain-limit-ms") > settings.integer("readiness-delay-ms")) {
        return std::nullopt;
    }
    return "setting 'drain-limit-ms' has the value '" + settings.text("drain-limit-ms")
        + "'; allowed: more than 'readiness-delay-ms', which is '"
        + settings.text("readiness-delay-ms") + "'";
}

} // namespace

const std::vector<SettingSpec> &daemonSettingsTable()
{
    using Kind = SettingKind;
    static const std::vector<SettingSpec> table {
        {"vm", Kind::Text, "", "Name of this VM in the platform's VM list.", 0, 0, "", false},
        {"failure-domain", Kind::Text, "", "Failure domain of this VM.", 0, 0, "", false},
        {"caller-listen", Kind::AddressValue, "127.0.0.1:8080", "Address for callers.", 0, 0, "",
         false},
        {"operator-listen", Kind::AddressValue, "127.0.0.1:8081", "Address for operators.", 0, 0,
         "", false},
        {"data-listen", Kind::AddressValue, "127.0.0.1:8082",
         "Address for the other VMs' subrequests; its port must be equal on all VMs.", 0, 0, "",
         false},
        {"control-listen", Kind::AddressValue, "127.0.0.1:8083",
         "Address for the other VMs' heartbeats; its port must be equal on all VMs.", 0, 0, "",
         false},
        {"platform", Kind::AddressValue, "127.0.0.1:7000", "Address of the platform.", 0, 0, "",
         false},
        {"store-timeout-ms", Kind::Milliseconds, "1000", "Longest wait for one store call.", 10,
         60'000, "", false},
        {"longest-body", Kind::Integer, "1048576", "Longest body of a caller, in bytes.", 1024,
         67'108'864, "", false},
        {"readiness-delay-ms", Kind::Milliseconds, "2000",
         "Time between readiness off and refusing new requests at a planned stop.", 0, 60'000, "",
         false},
        {"drain-limit-ms", Kind::Milliseconds, "30000",
         "Longest time that a planned stop waits for running requests.", 100, 600'000, "", false},
        {"log-level", Kind::Choice, "INFO", "Level of the log.", 0, 0,
         "TRACE,DEBUG,INFO,WARN,ERROR,OFF", false},
    };
    return table;
}

SettingsReader daemonSettingsReader()
{
    SettingsReader reader("pimentod", "The query tier's daemon, one on each entry VM",
                          daemonSettingsTable());
    reader.crossCheck(checkAddressesDiffer);
    reader.crossCheck(checkDrainLimit);
    return reader;
}

} // namespace pimentoward
