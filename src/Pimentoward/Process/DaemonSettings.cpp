#include "Pimentoward/Process/DaemonSettings.h"

namespace pimentoward {

namespace {

/// Rejects two listeners with the same address. Without this check the error would appear only when
/// the second listener binds.
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

/// Rejects a drain limit that does not exceed the readiness delay. The delay is the first part of a
/// planned stop, in which the load balancer learns that the VM is not ready.
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
         "Address for the other VMs' subrequests; all VMs must use the same port.", 0, 0, "",
         false},
        {"control-listen", Kind::AddressValue, "127.0.0.1:8083",
         "Address for the other VMs' heartbeats; all VMs must use the same port.", 0, 0, "", false},
        {"platform", Kind::AddressValue, "127.0.0.1:7000", "Address of the platform.", 0, 0, "",
         false},
        {"store-timeout-ms", Kind::Milliseconds, "1000", "Maximum duration of one store call.", 10,
         60'000, "", false},
        {"longest-body", Kind::Integer, "1048576",
         "Maximum size of a caller's request body, in bytes.", 1024, 67'108'864, "", false},
        {"readiness-delay-ms", Kind::Milliseconds, "2000",
         "Time at a planned stop between reporting not ready and refusing new requests.", 0, 60'000,
         "", false},
        {"drain-limit-ms", Kind::Milliseconds, "30000",
         "Maximum time that a planned stop waits for running requests.", 100, 600'000, "", false},
        {"log-level", Kind::Choice, "INFO", "Level of the log.", 0, 0,
         "TRACE,DEBUG,INFO,WARN,ERROR,OFF", false},
    };
    return table;
}

SettingsReader daemonSettingsReader()
{
    SettingsReader reader("pimentod", "The query tier's daemon; one runs on each VM of the tier",
                          daemonSettingsTable());
    reader.crossCheck(checkAddressesDiffer);
    reader.crossCheck(checkDrainLimit);
    return reader;
}

} // namespace pimentoward
