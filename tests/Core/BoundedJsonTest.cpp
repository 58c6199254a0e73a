#include "Pimentoward/Core/BoundedJson.h"

#include <catch2/catch.hpp>

using namespace pimentoward;

namespace {

constexpr std::size_t extremeDepth = 1'000'000;

std::string nestedText(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/// Arrays of one element each, then a zero.
std::string nestedCbor(std::size_t depth)
{
    constexpr char arrayOfOne = '\x81';
    return std::string(depth, arrayOfOne) + std::string(1, '\0');
}

} // namespace

TEST_CASE("Documents are parsed up to the maximum nesting and discarded beyond it")
{
    CHECK(parseJson(nestedText(maxJsonDepth)).is_array());
    CHECK(parseJson(nestedText(maxJsonDepth + 1)).is_discarded());
    CHECK(parseJson(nestedText(extremeDepth)).is_discarded());
    CHECK(parseCbor(nestedCbor(maxJsonDepth)).is_array());
    CHECK(parseCbor(nestedCbor(maxJsonDepth + 1)).is_discarded());
    CHECK(parseCbor(nestedCbor(extremeDepth)).is_discarded());
}

TEST_CASE("Brackets in strings do not count as nesting")
{
    const std::string text = "[\"\\\"" + std::string(2 * std::size_t {maxJsonDepth}, '[') + "\"]";
    CHECK(parseJson(text).is_array());
}

TEST_CASE("Malformed documents and numbers too large for a double are discarded")
{
    for (const char *text : {"", "{", "1e999", "[1,]", "NaN", "\"\xff\""}) {
        CHECK(parseJson(text).is_discarded());
    }
    CHECK(parseCbor("").is_discarded());
    CHECK(parseCbor("\x9b\xff\xff\xff\xff\xff\xff\xff\xff").is_discarded());
}

TEST_CASE("One odd value beside others leaves the others as they are")
{
    struct Case
    {
        std::string odd;
        nlohmann::json expected;
    };
    const std::string nested = nestedText(extremeDepth);
    const Case oddValue = GENERATE_COPY(
        Case {R"("a\ud83d")", "a\x1a"},
        Case {R"("\ude00b")",
              "\x1a"
              "b"},
        Case {R"("\ud83d\ud83d\ude00")", "\x1a\xf0\x9f\x98\x80"}, Case {R"("\ud83dx")", "\x1ax"},
        Case {R"("\ud83d\n")", "\x1a\n"}, Case {R"("\x")", "\x1a"},
        Case {R"("\u00g0")",
              "\x1a"
              "00g0"},
        Case {"\"\xff\"", "\x1a"}, Case {"\"\xed\xa0\xbd\"", "\x1a\x1a\x1a"},
        Case {"\"\n\"", "\x1a"}, Case {"1e999", nullptr}, Case {"-1e999", nullptr},
        Case {nested, nlohmann::json::object()},
        Case {"{\"a\":[\"]\\\"\"," + nested + "]}", nlohmann::json::object()});
    const auto json = parseJsonWithOddValues(R"([1.5,"a\"\u00e9\ud83d\ude00",)" + oddValue.odd
                                             + R"(,{"a\ud83d":[-2,true]},"\\ud83d"])");
    REQUIRE(json.size() == 5);
    CHECK(json[0] == 1.5);
    CHECK(json[1] == "a\"\xc3\xa9\xf0\x9f\x98\x80");
    if (oddValue.expected.is_object()) {
        CHECK_FALSE(json[2].is_discarded());
    } else {
        CHECK(json[2] == oddValue.expected);
    }
    CHECK(json[3].at("a\x1a") == nlohmann::json({-2, true}));
    CHECK(json[4] == "\\ud83d");
}

TEST_CASE("Texts that are no JSON are discarded with odd values, too")
{
    for (const char *text :
         {"", "{", "[1,]", "NaN", "\"", "\"\\", "\"\\ud83d", "[\"\\u", "[[", "-"}) {
        CHECK(parseJsonWithOddValues(text).is_discarded());
    }
    CHECK(parseJsonWithOddValues(std::string(extremeDepth, '[')).is_discarded());
    CHECK(parseJsonWithOddValues(std::string(extremeDepth, '[') + '"').is_discarded());
}
