#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pimentoward {

/// Size of one record in the parts of a fan-out's answer, in bytes.
inline constexpr std::size_t recordBytes = 16;

/// Joins the `maxRecords` greatest records of all parts, greatest first, compared byte by byte.
/// Equal records all count; what is left at the end of a part and shorter than a record is none.
std::string mergeTopRecords(const std::vector<std::string_view> &parts, std::size_t maxRecords);

} // namespace pimentoward
