#pragma once

#include "Pimentoward/Version/KeyRange.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace pimentoward::standins {

/// The records that the stand-in backend servers of one service hold. They are generated from a
/// seed, and the same seed gives the same records everywhere.
class RecordSet
{
public:
    /// One record. The position of its key decides to which shard it belongs.
    struct Record
    {
        std::string key;
        std::uint64_t position = 0;
        nlohmann::json fields;
    };

    /// Swimming badges of children; the key is the child.
    static RecordSet badges(std::uint32_t seed, std::size_t count);
    /// Stock lots of bat willow; the key is the bat model.
    static RecordSet stockLots(std::uint32_t seed, std::size_t count);
    /// Generates badges if `kind` is "badges", and stock lots otherwise.
    static RecordSet ofKind(const std::string &kind, std::uint32_t seed, std::size_t count);

    const std::vector<Record> &records() const { return m_records; }

    /// Scans all records and returns those in `range` that match the body of a backend request,
    /// {"key"} or {"field","value"}. Each gets the index version as a field. Tests compare merged
    /// answers with the result.
    nlohmann::json scan(const nlohmann::json &body, const KeyRange &range,
                        std::uint64_t version) const;

private:
    std::vector<Record> m_records;
};

} // namespace pimentoward::standins
