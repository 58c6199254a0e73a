// Writes the documentation pages that are generated from tables in the code into the folder given
// on the command line. tools/pages calls it.

#include "Pimentoward/Process/SettingsPages.h"
#include "Pimentoward/Process/SettingsReader.h"

#include <fstream>
#include <iostream>

using namespace pimentoward;

namespace {

/// Writes one file. Prints an error and returns false if that fails.
bool writeFile(const std::string &path, const std::string &text)
{
    std::ofstream file(path);
    file << text;
    file.close();
    if (!file) {
        std::cerr << "generate-pages: cannot write " << path << '\n';
    }
    return static_cast<bool>(file);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "usage: generate-pages FOLDER\n";
        return static_cast<int>(ExitCode::InvalidSettings);
    }
    const std::string folder = argv[1];
    const bool isWritten = writeFile(folder + "/RESULT-CODES.md", SettingsPages::resultCodes())
        && writeFile(folder + "/SETTINGS.md", SettingsPages::settings());
    return static_cast<int>(isWritten ? ExitCode::Success : ExitCode::Failure);
}
