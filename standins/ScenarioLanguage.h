#pragma once

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>

namespace pimentoward::standins {

/// The scenario language: Lua with the verbs that its target offers. Scripts see Lua's base,
/// string, table and math libraries; no files and no processes.
class ScenarioLanguage
{
public:
    /// Carries one verb out. `arguments` is the array of the call's arguments; tables come as JSON
    /// objects or arrays. The result goes back to the script. Throws std::runtime_error to fail.
    using Verb = std::function<nlohmann::json(const nlohmann::json &arguments)>;

    ScenarioLanguage();
    ~ScenarioLanguage();
    ScenarioLanguage(const ScenarioLanguage &) = delete;
    ScenarioLanguage &operator=(const ScenarioLanguage &) = delete;

    /// Offers a verb to scripts.
    void add(const std::string &name, Verb verb);
    /// Runs a script; returns its error with the line, or an empty text. `name` shows in errors.
    std::string run(const std::string &script, const std::string &name);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace pimentoward::standins
