#pragma once

#include "Pimentoward/Version/KeyRange.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace pimentoward::standins {

/// A generated set of records with a fixed seed: what the backend servers of one service hold.
class RecordSet
{
public:
    /// One record: its key decides the shard.
    struct Record
    {
        std::string key;
        std::uint64_t position = 0;
        nlohmann::json fields;
    };

    /// Badge records of swimming children; the key is the child.
    static RecordSet badges(std::uint32_t seed, std::size_t count);
    /// Stock lots of bat willow; the key is the bat model.
    static RecordSet stockLots(std::uint32_t seed, std::size_t count);
    /// `kind` is "badges" or "stock".
    static RecordSet ofKind(const std::string &kind, std::uint32_t seed, std::size_t count);

    const std::vector<Record> &records() const { return m_records; }

    /// A plain scan: records in `range` that match a backend body ({"key"} or {"field","value"}),
    /// each stamped with the index version. This is the reference for merged answers.
    nlohmann::json scan(const nlohmann::json &body, const KeyRange &range,
                        std::uint64_t version) const;

private:
    std::vector<Record> m_records;
};

} // namespace pimentoward::standins
