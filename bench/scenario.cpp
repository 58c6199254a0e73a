/// Runs one scenario script against real processes, which it starts and stops itself.

#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Process/SettingsReader.h"
#include "standins/ScenarioProcesses.h"

#include <event2/event.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace pimentoward;

namespace {

std::vector<SettingSpec> settingsTable()
{
    using Kind = SettingKind;
    return {
        {"script", Kind::Text, "", "Scenario script in Lua.", 0, 0, "", false},
        {"programs", Kind::Text, "build", "Folder that holds the built programs.", 0, 0, "", false},
        {"seed", Kind::Integer, "1", "Seed of the random load.", 0, 1'000'000'000, "", false},
    };
}

} // namespace

int main(int argc, char **argv)
{
    ExitCode exitCode {};
    const SettingsReader reader("bench-scenario", "Runs one scenario script on real processes",
                                settingsTable());
    const auto settings = reader.readOrExit(argc, argv, exitCode);
    if (!settings) {
        return static_cast<int>(exitCode);
    }
    Log::start("ERROR");
    std::ifstream file(settings->text("script"));
    if (!file) {
        std::cerr << "bench-scenario: cannot read '" << settings->text("script") << "'\n";
        return static_cast<int>(ExitCode::InvalidSettings);
    }
    std::ostringstream script;
    script << file.rdbuf();
    const std::string name = std::filesystem::path(settings->text("script")).filename();
    event_base *loop = event_base_new();
    std::string error;
    {
        standins::ScenarioProcesses::Settings processSettings;
        processSettings.programs = settings->text("programs");
        processSettings.logFolder = "out/scenario/" + name;
        processSettings.seed = static_cast<std::uint32_t>(settings->integer("seed"));
        standins::ScenarioProcesses processes(loop, processSettings);
        standins::ScenarioLanguage language;
        processes.addVerbs(language);
        error = language.run(script.str(), name);
    }
    event_base_free(loop);
    std::cout << (error.empty() ? "passed " : "FAILED ") << name << " seed "
              << settings->integer("seed") << (error.empty() ? "" : ": " + error) << '\n';
    return error.empty() ? 0 : 1;
}
