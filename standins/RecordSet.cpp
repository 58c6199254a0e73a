#include "standins/RecordSet.h"

#include <array>
#include <iomanip>
#include <random>
#include <sstream>

namespace pimentoward::standins {

namespace {

using Json = nlohmann::json;

/// Number of records with the same key. It has to match the value in LoadPlan.cpp.
constexpr std::size_t recordsPerKey = 4;

std::string numbered(const std::string &prefix, std::size_t number)
{
    constexpr int digits = 6;
    std::ostringstream text;
    text << prefix << std::setw(digits) << std::setfill('0') << number;
    return text.str();
}

/// Returns a random index below `count`. std::uniform_int_distribution is not used because its
/// results differ between standard libraries, and the records must be the same with all of them.
std::size_t pick(std::mt19937 &random, std::size_t count)
{
    return random() % count;
}

RecordSet::Record makeRecord(std::string key, Json fields)
{
    const std::uint64_t position = KeyRange::positionOf(key);
    return {std::move(key), position, std::move(fields)};
}

} // namespace

RecordSet RecordSet::badges(std::uint32_t seed, std::size_t count)
{
    static const std::array<const char *, 6> names {"Duckling", "Penguin", "Otter",
                                                    "Dolphin",  "Orca",    "Whale"};
    constexpr std::size_t pools = 40;
    std::mt19937 random(seed);
    RecordSet set;
    for (std::size_t number = 0; number < count; ++number) {
        const std::string child = numbered("child-", number / recordsPerKey);
        set.m_records.push_back(makeRecord(child,
                                           {{"id", numbered("badge-", number)},
                                            {"child", child},
                                            {"badge", names.at(pick(random, names.size()))},
                                            {"pool", numbered("pool-", pick(random, pools))}}));
    }
    return set;
}

RecordSet RecordSet::stockLots(std::uint32_t seed, std::size_t count)
{
    constexpr std::size_t depots = 30;
    constexpr std::size_t maxClefts = 200;
    std::mt19937 random(seed);
    RecordSet set;
    for (std::size_t number = 0; number < count; ++number) {
        const std::string model = numbered("model-", number / recordsPerKey);
        set.m_records.push_back(makeRecord(model,
                                           {{"id", numbered("lot-", number)},
                                            {"model", model},
                                            {"depot", numbered("depot-", pick(random, depots))},
                                            {"clefts", pick(random, maxClefts)}}));
    }
    return set;
}

RecordSet RecordSet::ofKind(const std::string &kind, std::uint32_t seed, std::size_t count)
{
    return kind == "badges" ? badges(seed, count) : stockLots(seed, count);
}

nlohmann::json RecordSet::scan(const nlohmann::json &body, const KeyRange &range,
                               std::uint64_t version) const
{
    const std::string key = body.value("key", "");
    const std::string field = body.value("field", "");
    const std::string value = body.value("value", "");
    Json matches = Json::array();
    for (const Record &record : m_records) {
        if (!range.contains(record.position)) {
            continue;
        }
        const bool isMatch
            = key.empty() ? record.fields.value(field, Json()) == Json(value) : record.key == key;
        if (isMatch) {
            Json stamped = record.fields;
            stamped["indexVersion"] = version;
            matches.push_back(std::move(stamped));
        }
    }
    return matches;
}

} // namespace pimentoward::standins
