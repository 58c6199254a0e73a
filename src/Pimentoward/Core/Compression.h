#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace pimentoward {

/// The bytes, packed by zlib at its fastest.
std::string compress(const std::string &bytes);
/// What was packed; nothing where the bytes are malformed or unpack to more than `most` bytes.
std::optional<std::string> decompress(const std::string &packed, std::size_t most);

} // namespace pimentoward
