#include "Pimentoward/Request/QueryAnswer.h"

#include <nlohmann/json.hpp>

namespace pimentoward {

namespace {

/// Joins JSON arrays as text. Each array was validated when its reply arrived, so that there is no
/// need to parse and write every record again.
std::string joinArrays(const std::vector<std::string> &arrays)
{
    std::string joined = "[";
    for (const std::string &array : arrays) {
        const auto begin = array.find('[');
        const auto end = array.rfind(']');
        constexpr const char *whitespace = " \t\r\n";
        if (begin == std::string::npos || end == std::string::npos
            || array.find_first_not_of(whitespace, begin + 1) >= end) {
            continue;
        }
        if (joined.size() > 1) {
            joined += ',';
        }
        joined.append(array, begin + 1, end - begin - 1);
    }
    return joined + "]";
}

} // namespace

std::string QueryAnswer::toJson() const
{
    nlohmann::ordered_json head;
    const ResultCodeInfo &info = resultCodeInfo(outcome.code);
    head["requestId"] = requestId;
    head["version"] = version;
    head["coverage"] = coverage;
    head["missingShards"] = missingShards;
    head["code"] = static_cast<int>(outcome.code);
    head["result"] = info.name;
    if (outcome.code != ResultCode::Ok) {
        head["reason"] = outcome.text.empty() ? std::string(info.meaning) : outcome.text;
    }
    constexpr auto replaceInvalidText = nlohmann::ordered_json::error_handler_t::replace;
    std::string text = head.dump(-1, ' ', false, replaceInvalidText);
    text.pop_back();
    return text + ",\"records\":" + joinArrays(recordArrays) + "}";
}

} // namespace pimentoward
