#pragma once

#include <string>

namespace pimentoward {

/// Generates the documentation pages that are made from tables in the code.
class SettingsPages
{
public:
    /// Returns the text of docs/RESULT-CODES.md.
    static std::string resultCodes();
    /// Returns the text of docs/SETTINGS.md.
    static std::string settings();
};

} // namespace pimentoward
