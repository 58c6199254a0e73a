#include "Pimentoward/Request/RecordMerge.h"

#include <algorithm>
#include <functional>

namespace pimentoward {

std::string mergeTopRecords(const std::vector<std::string_view> &parts, std::size_t maxRecords)
{
    std::vector<std::string_view> records;
    for (const std::string_view part : parts) {
        for (std::size_t start = 0; start + recordBytes <= part.size(); start += recordBytes) {
            records.push_back(part.substr(start, recordBytes));
        }
    }
    const std::size_t kept = std::min(maxRecords, records.size());
    std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(kept),
                      records.end(), std::greater<>());
    std::string merged;
    merged.reserve(kept * recordBytes);
    for (std::size_t index = 0; index < kept; ++index) {
        merged += records[index];
    }
    return merged;
}

} // namespace pimentoward
