#include "Pimentoward/Core/FileText.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace pimentoward {

std::optional<std::string> readFile(const std::string &path, Reason &reason)
{
    const std::ifstream file(path, std::ios::binary);
    if (!file) {
        reason = {ResultCode::InvalidSetting, path + ": " + std::strerror(errno)};
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace pimentoward
