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

/// The verbs of the scenario language on real processes. Verdicts come from the stand-ins' own
/// records. docs/GUARANTEES.md lists the verbs.
class ScenarioProcesses
{
public:
    struct Settings
    {
        std::string programs = "build";
        std::string logFolder = "out/scenario";
        std::uint32_t seed = 1;
    };

    ScenarioProcesses(event_base *loop, const Settings &settings);
    ~ScenarioProcesses();
    ScenarioProcesses(const ScenarioProcesses &) = delete;
    ScenarioProcesses &operator=(const ScenarioProcesses &) = delete;

    /// Offers all verbs to scripts of `language`.
    void addVerbs(ScenarioLanguage &language);

private:
    using Json = nlohmann::json;

    struct State;

    void addProcessVerbs(ScenarioLanguage &language);
    void addRequestVerbs(ScenarioLanguage &language);
    void addOutsideVerbs(ScenarioLanguage &language);
    /// Runs the loop, and with it the load, for a time.
    void wait(Duration time);
    void startLoad(const Json &options);
    Json finishLoad();
    Json runRecords();
    Json post(const Address &address, const std::string &path, const Json &body);
    const VmRecord &vm(const std::string &name) const;

    std::unique_ptr<State> m_state;
};

} // namespace pimentoward::standins
