#include "apps/pimento-load/LoadSettings.h"

#include <algorithm>
#include <sstream>

namespace pimentoward {

namespace {

constexpr double percent = 100;

std::vector<std::string> splitByComma(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');) {
        parts.push_back(part);
    }
    return parts;
}

/// Returns an error message if a setting holds an invalid list of addresses.
std::optional<std::string> checkAddresses(const ResolvedSettings &settings, const std::string &name)
{
    Reason reason;
    const std::string &text = settings.text(name);
    if (!text.empty() && !LoadSettings::addresses(text, reason)) {
        return "setting '" + name + "' has the value '" + text + "': " + reason.text;
    }
    return std::nullopt;
}

} // namespace

std::vector<SettingSpec> LoadSettings::table()
{
    using Kind = SettingKind;
    return {
        {"targets", Kind::Text, "127.0.1.1:8080,127.0.1.2:8080,127.0.1.3:8080",
         "Caller addresses of the VMs, comma-separated; used in round robin.", 0, 0, "", false},
        {"targets-b", Kind::Text, "",
         "Caller addresses of the VMs of policy B, for --compare targets.", 0, 0, "", true},
        {"deployment", Kind::Text, "deployments/small.json",
         "File that describes the VMs and services.", 0, 0, "", false},
        {"services", Kind::Text, "", "Services to query, comma-separated; empty: all.", 0, 0, "",
         true},
        {"rate", Kind::Real, "20", "Requests per second over all services.", 0.01, 100'000, "",
         false},
        {"arrivals", Kind::Choice, "poisson", "Distribution of the intervals between requests.", 0,
         0, "poisson,constant", false},
        {"seconds", Kind::Integer, "5", "Duration of the load, or of one round.", 1, 3600, "",
         false},
        {"search-percent", Kind::Real, "20", "Share of requests that search all shards.", 0, 100,
         "", false},
        {"evening-percent", Kind::Real, "0", "Share of requests that are of the evening class.", 0,
         100, "", false},
        {"deadline-ms", Kind::Milliseconds, "1000", "Deadline of each request.", 1, 600'000, "",
         false},
        {"seed", Kind::Integer, "1", "Seed of the random send times and keys.", 0, 4'294'967'295.0,
         "", false},
        {"probe-ms", Kind::Integer, "0",
         "Interval of simulated load-balancer health probes, in ms; 0: none.", 0, 60'000, "",
         false},
        {"compare", Kind::Choice, "none",
         "Policy B: none, other targets, or direct calls to the backend servers.", 0, 0,
         "none,targets,direct", false},
        {"rounds", Kind::Integer, "5", "Measured rounds of each policy, without warm-up rounds.", 1,
         1000, "", false},
        {"direct-vms", Kind::Integer, "3",
         "VMs of the direct policy, which share no state with each "
         "other.",
         1, 1000, "", false},
        {"direct-limit", Kind::Integer, "0",
         "Maximum requests of one such VM at one backend server; 0: its slots.", 0, 1000, "",
         false},
        {"once", Kind::Flag, "false",
         "Send one lookup and one search to each service and print the answers.", 0, 0, "", false},
        {"output", Kind::Text, "", "Prefix of the JSON and plot data files; empty: no files.", 0, 0,
         "", true},
        {"log-level", Kind::Choice, "WARN", "Level of the log.", 0, 0,
         "TRACE,DEBUG,INFO,WARN,ERROR,OFF", false},
    };
}

std::optional<std::string> LoadSettings::crossCheck(const ResolvedSettings &settings)
{
    for (const char *name : {"targets", "targets-b"}) {
        if (auto error = checkAddresses(settings, name)) {
            return error;
        }
    }
    const bool comparesTargets = settings.text("compare") == "targets";
    if (comparesTargets == settings.text("targets-b").empty()) {
        return "settings 'compare' with the value '" + settings.text("compare")
            + "' and 'targets-b' with the value '" + settings.text("targets-b")
            + "' contradict each other; allowed: 'targets-b' together with 'compare' = targets";
    }
    if (settings.flag("once") && settings.text("compare") != "none") {
        return "settings 'once' and 'compare' contradict each other; allowed: one of them";
    }
    return std::nullopt;
}

std::optional<std::vector<Address>> LoadSettings::addresses(const std::string &text, Reason &reason)
{
    std::vector<Address> result;
    for (const std::string &part : splitByComma(text)) {
        const auto address = Address::parse(part, reason);
        if (!address) {
            return std::nullopt;
        }
        result.push_back(*address);
    }
    if (result.empty()) {
        reason = {ResultCode::InvalidSetting, "expected at least one address"};
        return std::nullopt;
    }
    return result;
}

std::optional<std::vector<standins::LoadPlan::Settings>>
LoadSettings::loads(const ResolvedSettings &settings, const standins::Deployment &deployment,
                    Reason &reason)
{
    std::vector<std::string> names = splitByComma(settings.text("services"));
    if (names.empty()) {
        for (const standins::ServiceSpec &serviceSpec : deployment.services) {
            names.push_back(serviceSpec.name);
        }
    }
    std::vector<standins::LoadPlan::Settings> result;
    for (const std::string &name : names) {
        const auto serviceSpec
            = std::find_if(deployment.services.begin(), deployment.services.end(),
                           [&name](const auto &entry) { return entry.name == name; });
        if (serviceSpec == deployment.services.end()) {
            reason = {ResultCode::InvalidSetting,
                      "setting 'services' names '" + name + "', which is not in the deployment"};
            return std::nullopt;
        }
        standins::LoadPlan::Settings load;
        load.service = name;
        load.recordKind = serviceSpec->recordKind;
        load.records = serviceSpec->records;
        load.rate = settings.real("rate") / static_cast<double>(names.size());
        load.length = std::chrono::seconds(settings.integer("seconds"));
        load.isPoisson = settings.text("arrivals") == "poisson";
        load.searchShare = settings.real("search-percent") / percent;
        load.eveningShare = settings.real("evening-percent") / percent;
        load.deadline = settings.milliseconds("deadline-ms");
        load.seed = static_cast<std::uint32_t>(settings.integer("seed") + serviceSpec->seed);
        result.push_back(load);
    }
    return result;
}

} // namespace pimentoward
