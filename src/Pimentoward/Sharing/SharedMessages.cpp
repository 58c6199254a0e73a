#include "Pimentoward/Sharing/SharedMessages.h"

#include "Pimentoward/Core/BoundedJson.h"

#include <nlohmann/json.hpp>

namespace pimentoward {

namespace {

using Json = nlohmann::json;

constexpr std::uint64_t protocolVersion = 1;
constexpr std::size_t maxNameBytes = 256;

/// Reads one entry of a message. Returns false if it is malformed.
bool readSection(const Json &json, std::optional<SharedSection> &section)
{
    if (json.is_null()) {
        return true;
    }
    const bool isValid = json.is_array() && json.size() == 2 && json[0].is_number_unsigned()
        && json[0].get<std::uint64_t>() <= UINT8_MAX && json[1].is_binary();
    if (isValid) {
        const Json::binary_t &content = json[1].get_binary();
        section = SharedSection {static_cast<SharedTopic>(json[0].get<std::uint8_t>()),
                                 {content.begin(), content.end()}};
    }
    return isValid;
}

} // namespace

std::string encode(const SharedMessage &message)
{
    Json sections = Json::array();
    for (const std::optional<SharedSection> &section : message.sections) {
        if (!section) {
            sections.push_back(nullptr);
            continue;
        }
        sections.push_back(
            Json::array({static_cast<std::uint8_t>(section->topic),
                         Json::binary({section->content.begin(), section->content.end()})}));
    }
    const std::vector<std::uint8_t> bytes
        = Json::to_cbor(Json::array({protocolVersion, message.from, std::move(sections)}));
    return {bytes.begin(), bytes.end()};
}

std::optional<SharedMessage> decodeSharedMessage(const std::string &bytes)
{
    if (bytes.size() > maxSharedMessageBytes) {
        return std::nullopt;
    }
    const Json json = parseCbor(bytes);
    const bool isValid = json.is_array() && json.size() >= 3 && json[0] == protocolVersion
        && json[1].is_string() && json[1].get_ref<const std::string &>().size() <= maxNameBytes
        && json[2].is_array() && json[2].size() <= maxSharedSections;
    if (!isValid) {
        return std::nullopt;
    }
    SharedMessage message;
    message.from = json[1].get<std::string>();
    for (const Json &entry : json[2]) {
        message.sections.emplace_back();
        if (!readSection(entry, message.sections.back())) {
            return std::nullopt;
        }
    }
    return message;
}

} // namespace pimentoward
