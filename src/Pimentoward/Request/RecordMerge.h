#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pimentoward {

/// Size of one record in the parts of a fan-out's answer, in bytes.
inline constexpr std::size_t recordBytes = 16;

/// Concatenates the `maxRecords` greatest records of all parts, in descending order. Records are
/// compared byte by byte. Duplicate records are kept. An incomplete record at the end of a part is
/// ignored.
std::string mergeTopRecords(const std::vector<std::string_view> &parts, std::size_t maxRecords);

} // namespace pimentoward
