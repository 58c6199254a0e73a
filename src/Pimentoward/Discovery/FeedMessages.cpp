#include "Pimentoward/Discovery/FeedMessages.h"

#include "Pimentoward/Core/BoundedJson.h"
#include "Pimentoward/Core/Compression.h"

#include <nlohmann/json.hpp>

namespace pimentoward {

namespace {

using Json = nlohmann::json;

/// Maximum time in a message, in milliseconds.
constexpr std::int64_t maxMilliseconds = 1'000'000'000;
/// Maximum size of a message after decompression, in bytes.
constexpr std::size_t maxUnpackedBytes = 64 << 20;

std::int64_t milliseconds(Duration time)
{
    return std::min(std::chrono::duration_cast<std::chrono::milliseconds>(time).count(),
                    maxMilliseconds);
}

Json itemJson(const StoreItem &item)
{
    return {{"key", item.key},
            {"value", Json::binary({item.value.begin(), item.value.end()})},
            {"revision", item.revision}};
}

void addFreshness(Json &json, const FeedFreshness &freshness)
{
    json["ageMs"] = milliseconds(freshness.age);
    if (freshness.sinceOutage) {
        json["sinceOutageMs"] = milliseconds(*freshness.sinceOutage);
    }
}

/// Adds the era, unless it is the only one of a store that does not state it.
void addEra(Json &json, StoreEra era)
{
    if (era > 0) {
        json["era"] = era;
    }
}

std::string pack(const Json &json)
{
    // Messages are compressed because settings with hundreds of routes are sent to many VMs over
    // links of low bandwidth, and their text is highly repetitive.
    const std::vector<std::uint8_t> bytes = Json::to_cbor(json);
    return compress({bytes.begin(), bytes.end()});
}

bool hasUnsigned(const Json &json, const char *name)
{
    return json.contains(name) && json[name].is_number_unsigned();
}

bool hasTime(const Json &json, const char *name)
{
    return hasUnsigned(json, name) && json[name].get<std::uint64_t>() <= maxMilliseconds;
}

std::optional<StoreItem> itemOf(const Json &json)
{
    if (!json.is_object() || !json.contains("key") || !json["key"].is_string()
        || !hasUnsigned(json, "revision")) {
        return std::nullopt;
    }
    StoreItem item;
    item.key = json["key"].get<std::string>();
    item.revision = json["revision"].get<Revision>();
    if (const auto value = json.find("value"); value != json.end()) {
        if (!value->is_binary()) {
            return std::nullopt;
        }
        item.value.assign(value->get_binary().begin(), value->get_binary().end());
    }
    return item;
}

FeedFreshness freshnessOf(const Json &json)
{
    FeedFreshness freshness;
    freshness.age = std::chrono::milliseconds(json["ageMs"].get<std::int64_t>());
    if (hasTime(json, "sinceOutageMs")) {
        freshness.sinceOutage
            = std::chrono::milliseconds(json["sinceOutageMs"].get<std::int64_t>());
    }
    return freshness;
}

StoreEra eraOf(const Json &json)
{
    return hasUnsigned(json, "era") ? json["era"].get<StoreEra>() : 0;
}

/// Decompresses and parses the bytes; returns a discarded value if they are malformed.
Json unpack(const std::string &bytes)
{
    const auto unpacked = decompress(bytes, maxUnpackedBytes);
    return unpacked ? parseCbor(*unpacked) : Json(Json::value_t::discarded);
}

/// Parses a message and checks the fields that both kinds of message have. `listName` is the field
/// that holds the entries.
std::optional<Json> parse(const std::string &bytes, const char *listName, Reason &reason)
{
    Json json = unpack(bytes);
    const bool isValid = json.is_object() && hasUnsigned(json, "revision") && hasTime(json, "ageMs")
        && json.contains(listName) && json[listName].is_array();
    if (!isValid) {
        reason = {ResultCode::InvalidMessage,
                  "the feed message cannot be decoded or lacks its revision, age or entries"};
        return std::nullopt;
    }
    return json;
}

} // namespace

std::string encode(const FeedPage &message)
{
    Json json = {{"revision", message.page.revision}, {"hasMore", message.page.hasMore}};
    addEra(json, message.page.era);
    json["items"] = Json::array();
    for (const StoreItem &item : message.page.items) {
        json["items"].push_back(itemJson(item));
    }
    addFreshness(json, message.freshness);
    return pack(json);
}

std::string encode(const FeedChanges &message)
{
    Json json = {{"revision", message.changes.revision}};
    addEra(json, message.changes.era);
    json["events"] = Json::array();
    for (const StoreEvent &event : message.changes.events) {
        Json entry = itemJson(event.item);
        if (event.isRemoved) {
            entry.erase("value");
        }
        json["events"].push_back(std::move(entry));
    }
    addFreshness(json, message.freshness);
    return pack(json);
}

std::optional<FeedPage> decodeFeedPage(const std::string &bytes, Reason &reason)
{
    const auto json = parse(bytes, "items", reason);
    if (!json) {
        return std::nullopt;
    }
    FeedPage message;
    message.page.revision = (*json)["revision"].get<Revision>();
    message.page.era = eraOf(*json);
    message.page.hasMore = json->contains("hasMore") && (*json)["hasMore"] == true;
    for (const Json &entry : (*json)["items"]) {
        std::optional<StoreItem> item = itemOf(entry);
        if (!item) {
            reason = {ResultCode::InvalidMessage, "an item of the feed page is malformed"};
            return std::nullopt;
        }
        message.page.items.push_back(std::move(*item));
    }
    message.freshness = freshnessOf(*json);
    return message;
}

std::optional<FeedChanges> decodeFeedChanges(const std::string &bytes, Reason &reason)
{
    const auto json = parse(bytes, "events", reason);
    if (!json) {
        return std::nullopt;
    }
    FeedChanges message;
    message.changes.revision = (*json)["revision"].get<Revision>();
    message.changes.era = eraOf(*json);
    for (const Json &entry : (*json)["events"]) {
        std::optional<StoreItem> item = itemOf(entry);
        if (!item) {
            reason = {ResultCode::InvalidMessage, "an event of the feed changes is malformed"};
            return std::nullopt;
        }
        const bool isRemoved = !entry.contains("value");
        message.changes.events.push_back({std::move(*item), isRemoved});
    }
    message.freshness = freshnessOf(*json);
    return message;
}

} // namespace pimentoward
