#include "Pimentoward/Core/BoundedJson.h"

#include "Pimentoward/Core/JsonRepair.h"

namespace pimentoward {

namespace {

using Json = nlohmann::json;

/// True if brackets outside of strings are nested deeper than `maxJsonDepth`. The text need not be
/// valid JSON.
bool isTextTooDeep(std::string_view text)
{
    unsigned depth = 0;
    bool isInString = false;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const char symbol = text[index];
        if (isInString) {
            index += symbol == '\\' ? 1 : 0;
            isInString = symbol != '"';
        } else if (symbol == '"') {
            isInString = true;
        } else if (symbol == '[' || symbol == '{') {
            if (++depth > maxJsonDepth) {
                return true;
            }
        } else if ((symbol == ']' || symbol == '}') && depth > 0) {
            --depth;
        }
    }
    return false;
}

/// Stops the parser where a document is nested deeper than `maxJsonDepth`.
class DepthCheck final : public nlohmann::json_sax<Json>
{
public:
    bool start_object(std::size_t) override { return enter(); }
    bool start_array(std::size_t) override { return enter(); }
    bool end_object() override { return leave(); }
    bool end_array() override { return leave(); }
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t &) override { return true; }
    bool string(string_t &) override { return true; }
    bool binary(binary_t &) override { return true; }
    bool key(string_t &) override { return true; }
    bool parse_error(std::size_t, const std::string &, const Json::exception &) override
    {
        return false;
    }

private:
    bool enter() { return ++m_depth <= maxJsonDepth; }
    bool leave()
    {
        --m_depth;
        return true;
    }

    unsigned m_depth = 0;
};

} // namespace

nlohmann::json parseJson(std::string_view text)
{
    constexpr bool throws = false;
    if (isTextTooDeep(text)) {
        return Json(Json::value_t::discarded);
    }
    return Json::parse(text, nullptr, throws);
}

nlohmann::json parseJsonWithOddValues(std::string_view text)
{
    Json json = parseJson(text);
    return json.is_discarded() ? parseJson(repairJson(text, maxJsonDepth)) : json;
}

nlohmann::json parseCbor(std::string_view bytes)
{
    constexpr bool isStrict = true;
    constexpr bool throws = false;
    try {
        DepthCheck check;
        if (!Json::sax_parse(bytes, &check, Json::input_format_t::cbor, isStrict)) {
            return Json(Json::value_t::discarded);
        }
        return Json::from_cbor(bytes, isStrict, throws);
    } catch (const Json::exception &) {
        // A length that exceeds what the library can hold throws even though exceptions are
        // switched off.
        return Json(Json::value_t::discarded);
    }
}

} // namespace pimentoward
