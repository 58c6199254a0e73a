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
