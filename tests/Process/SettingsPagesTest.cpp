#include "Pimentoward/Process/SettingsPages.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

using namespace pimentoward;

namespace {

std::string pageText(const std::string &name)
{
    std::ifstream file(std::string(PIMENTOWARD_SOURCE_DIR) + "/docs/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

TEST_CASE("The generated pages in docs match the tables in the code", "[settings]")
{
    // If this fails, run tools/pages and commit the pages.
    CHECK(pageText("RESULT-CODES.md") == SettingsPages::resultCodes());
    CHECK(pageText("SETTINGS.md") == SettingsPages::settings());
}
