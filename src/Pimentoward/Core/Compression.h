#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace pimentoward {

/// Compresses bytes with zlib at its fastest level.
std::string compress(const std::string &bytes);
/// Decompresses the result of compress(). Returns nothing if the bytes are malformed or decompress
/// to more than `maxBytes` bytes.
std::optional<std::string> decompress(const std::string &compressed, std::size_t maxBytes);

} // namespace pimentoward
