#pragma once

#include <nlohmann/json.hpp>

#include <string_view>

namespace pimentoward {

/// Maximum nesting of arrays and objects in a document that another process has written. The
/// library needs memory, and for some operations stack, in proportion to the nesting, so that a
/// short document could exhaust either.
constexpr unsigned maxJsonDepth = 64;

/// Parses JSON text. Returns a discarded value if the text is malformed, contains a number that a
/// double cannot hold, or is nested deeper than `maxJsonDepth`.
nlohmann::json parseJson(std::string_view text);
/// Parses JSON text in which other writers' values stand beside each other, so that one odd value
/// does not spoil the others. Values that parseJson() refuses are replaced as repairJson() states;
/// a text that is malformed otherwise still gives a discarded value.
nlohmann::json parseJsonWithOddValues(std::string_view text);
/// Parses CBOR. Returns a discarded value if the bytes are malformed or nested deeper than
/// `maxJsonDepth`.
nlohmann::json parseCbor(std::string_view bytes);

} // namespace pimentoward
