#pragma once

#include "standins/DeploymentProcesses.h"
#include "standins/LoadRunner.h"
#include "standins/ScenarioLanguage.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

struct event_base;

namespace pimentoward::standins {

/// Implements the verbs of scenario scripts with real processes. Verdicts are based on the records
/// of the stand-ins. docs/GUARANTEES.md lists the verbs.
class ScenarioProcesses
{
public:
    struct Settings
    {
        /// Folder of the built programs.
        std::string programs = "build";
        std::string logFolder = "out/scenario";
        std::uint32_t seed = 1;
    };

    ScenarioProcesses(event_base *loop, const Settings &settings);
    ~ScenarioProcesses();
    ScenarioProcesses(const ScenarioProcesses &) = delete;
    ScenarioProcesses &operator=(const ScenarioProcesses &) = delete;

    /// Makes all verbs available to scripts of `language`.
    void addVerbs(ScenarioLanguage &language);

private:
    using Json = nlohmann::json;

    struct State;

    /// Adds the verbs that start, signal and await processes, wait for a time, or check a
    /// condition.
    void addProcessVerbs(ScenarioLanguage &language);
    /// Adds the verbs that send requests and return their results.
    void addRequestVerbs(ScenarioLanguage &language);
    /// Adds the verbs that control the store, the platform, backend servers and settings.
    void addEnvironmentVerbs(ScenarioLanguage &language);
    /// Runs the event loop, and with it the load, for `time`.
    void wait(Duration time);
    void startLoad(const Json &options);
    Json finishLoad();
    /// Collects the records of all backend servers and checks the last load against them.
    Json runRecords();
    /// Sends a POST and returns the JSON object of the answer with the added field `httpStatus`. If
    /// the body is not a JSON object, the field `text` holds it.
    Json post(const Address &address, const std::string &path, const Json &body);
    /// Returns a VM of the deployment. Throws std::runtime_error if there is none of this name.
    const VmRecord &vm(const std::string &name) const;

    std::unique_ptr<State> m_state;
};

} // namespace pimentoward::standins
