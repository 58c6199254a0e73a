#include "Pimentoward/Process/ClaimRecord.h"

#include "Pimentoward/Core/BoundedJson.h"
#include "Pimentoward/Core/WallClockCodec.h"

#include <nlohmann/json.hpp>

namespace pimentoward {

namespace {

using Json = nlohmann::json;

} // namespace

std::optional<ClaimRecord> ClaimRecord::decode(const std::string &bytes, Reason &reason)
{
    ClaimRecord record;
    if (bytes.empty()) {
        return record;
    }
    try {
        const Json root = parseCbor(bytes);
        if (!root.is_object()) {
            reason = {ResultCode::InvalidMessage, "malformed claim record: not a CBOR map"};
            return std::nullopt;
        }
        for (const auto &[name, item] : root.items()) {
            ClaimEntry entry;
            entry.token = item.at(0).get<std::string>();
            entry.contentHash = item.at(1).get<std::uint64_t>();
            entry.expiry = WallClockCodec::read(item.at(2));
            entry.isSettled = item.at(3).get<bool>();
            entry.code = resultCodeFromNumber(item.at(4).get<std::uint64_t>());
            entry.body = item.at(5).get<std::string>();
            record.entries[name] = std::move(entry);
        }
        return record;
    } catch (const Json::exception &error) {
        reason
            = {ResultCode::InvalidMessage, std::string("malformed claim record: ") + error.what()};
        return std::nullopt;
    }
}

std::string ClaimRecord::encode() const
{
    Json json = Json::object();
    for (const auto &[name, entry] : entries) {
        json[name]
            = Json::array({entry.token, entry.contentHash, WallClockCodec::encode(entry.expiry),
                           entry.isSettled, static_cast<unsigned>(entry.code), entry.body});
    }
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

void ClaimRecord::dropExpired(WallTime limit)
{
    for (auto entry = entries.begin(); entry != entries.end();) {
        entry = entry->second.expiry < limit ? entries.erase(entry) : std::next(entry);
    }
}

std::size_t ClaimRecord::sizeBound() const
{
    constexpr std::size_t entryOverhead = 48; // bytes per entry, for CBOR headers and numbers
    std::size_t total = entryOverhead;
    for (const auto &[name, entry] : entries) {
        total += name.size() + entry.token.size() + entry.body.size() + entryOverhead;
    }
    return total;
}

std::string ClaimRecord::claimName(const ServiceName &service, const std::string &key)
{
    return service + '\n' + key;
}

} // namespace pimentoward
