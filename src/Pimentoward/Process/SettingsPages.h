#pragma once

#include <string>

namespace pimentoward {

/// The generated pages of the docs, made from the tables in the code.
class SettingsPages
{
public:
    /// Text of docs/RESULT-CODES.md.
    static std::string resultCodes();
    /// Text of docs/SETTINGS.md.
    static std::string settings();
};

} // namespace pimentoward
