#include "Pimentoward/Connection/RetryAfter.h"

#include <algorithm>
#include <ctime>
#include <string>

namespace pimentoward {

namespace {

constexpr std::chrono::duration<double> maxSeconds = maxRetryAfter;

/// Parses the date format that HTTP prescribes, such as "Sun, 06 Nov 1994 08:49:37 GMT".
std::optional<std::time_t> parseDate(std::string_view text)
{
    std::tm date {};
    const std::string terminated(text);
    const char *end = strptime(terminated.c_str(), "%a, %d %b %Y %H:%M:%S GMT", &date);
    if (end == nullptr || *end != '\0') {
        return std::nullopt;
    }
    return timegm(&date);
}

/// Parses digits with an optional fraction. Signs, exponents and other notations are refused.
std::optional<double> parseSeconds(std::string_view text)
{
    constexpr std::size_t maxDigits = 18;
    const auto isPlain
        = [](char symbol) { return (symbol >= '0' && symbol <= '9') || symbol == '.'; };
    if (text.empty() || text.front() == '.' || !std::all_of(text.begin(), text.end(), isPlain)
        || std::count(text.begin(), text.end(), '.') > 1) {
        return std::nullopt;
    }
    const std::size_t wholeDigits = std::min(text.find('.'), text.size());
    if (wholeDigits > maxDigits) {
        return maxSeconds.count();
    }
    return std::stod(std::string(text.substr(0, wholeDigits + maxDigits)));
}

} // namespace

std::optional<Duration> retryAfter(const HttpHeaders &headers)
{
    const std::string_view text = headers.value("Retry-After");
    std::optional<double> seconds = parseSeconds(text);
    if (!seconds) {
        const auto until = parseDate(text);
        const auto now = parseDate(headers.value("Date"));
        if (!until || !now) {
            return std::nullopt;
        }
        seconds = std::difftime(*until, *now);
    }
    if (*seconds < 0) {
        return std::nullopt;
    }
    const std::chrono::duration<double> time(*seconds);
    return std::chrono::duration_cast<Duration>(std::min(time, maxSeconds));
}

std::string retryAfterText(Duration time)
{
    constexpr std::size_t fractionDigits = 3;
    constexpr std::int64_t perSecond = 1000;
    const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(time).count();
    std::string fraction = std::to_string(milliseconds % perSecond);
    fraction.insert(0, fractionDigits - fraction.size(), '0');
    return std::to_string(milliseconds / perSecond) + "." + fraction;
}

} // namespace pimentoward
