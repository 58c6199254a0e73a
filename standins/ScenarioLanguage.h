#pragma once

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>

namespace pimentoward::standins {

/// Runs scenario scripts: Lua with added functions, the verbs. Scripts have Lua's base, string,
/// table and math libraries, and no access to files or processes.
class ScenarioLanguage
{
public:
    /// Executes one call of a verb. `arguments` is the array of the call's arguments, in which
    /// tables are JSON objects or arrays. The result is returned to the script. A verb throws
    /// std::runtime_error to make the call fail.
    using Verb = std::function<nlohmann::json(const nlohmann::json &arguments)>;

    ScenarioLanguage();
    ~ScenarioLanguage();
    ScenarioLanguage(const ScenarioLanguage &) = delete;
    ScenarioLanguage &operator=(const ScenarioLanguage &) = delete;

    /// Makes a verb available to scripts under `name`.
    void add(const std::string &name, Verb verb);
    /// Runs a script. Returns its error with the line number, or an empty string if it succeeds.
    /// `name` is the script's name in errors.
    std::string run(const std::string &script, const std::string &name);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace pimentoward::standins
