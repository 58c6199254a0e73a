#include "Pimentoward/Process/ControlMessages.h"

#include "Pimentoward/Core/BoundedJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace pimentoward {

namespace {

using Json = nlohmann::json;

enum class MessageType : int {
    Heartbeat = 1,
    MemberRecord = 2,
    SettingsRequest = 3,
    SettingsCopy = 4
};

constexpr unsigned readyFlag = 1;
constexpr unsigned leavingFlag = 2;

Json binary(const std::string &bytes)
{
    return Json::binary({bytes.begin(), bytes.end()});
}

std::string readBinary(const Json &json)
{
    const auto &bytes = json.get_binary();
    return {bytes.begin(), bytes.end()};
}

// Messages are arrays without keys to keep them small: heartbeats are most of the control traffic.

Json toJson(const Heartbeat &heartbeat, const HeartbeatServerList &servers)
{
    const unsigned flags
        = (heartbeat.ready ? readyFlag : 0) | (heartbeat.leaving ? leavingFlag : 0);
    const HeartbeatEcho echo = heartbeat.echo.value_or(HeartbeatEcho {});
    // `requested` includes every owned backend server, so only the others are sent. Usually there
    // are none.
    std::vector<BackendServerId> notOwned;
    std::set_difference(heartbeat.requested.begin(), heartbeat.requested.end(),
                        heartbeat.owned.begin(), heartbeat.owned.end(),
                        std::back_inserter(notOwned));
    return Json::array({static_cast<int>(MessageType::Heartbeat), heartbeat.from,
                        heartbeat.incarnation, heartbeat.sequence, heartbeat.epoch,
                        heartbeat.settingsRevision, echo.incarnation, echo.sequence, flags,
                        heartbeat.contactMask, servers.hash(),
                        binary(servers.toBits(heartbeat.owned)), binary(servers.toBits(notOwned)),
                        binary(servers.toBits(heartbeat.granted))});
}

Json toJson(const MemberRecord &record, const HeartbeatServerList &)
{
    return Json::array({static_cast<int>(MessageType::MemberRecord), record.toJson()});
}

Json toJson(const SettingsRequest &request, const HeartbeatServerList &)
{
    return Json::array({static_cast<int>(MessageType::SettingsRequest), request.from});
}

Json toJson(const SettingsCopy &copy, const HeartbeatServerList &)
{
    return Json::array({static_cast<int>(MessageType::SettingsCopy), copy.document});
}

Heartbeat readHeartbeat(const Json &json, const HeartbeatServerList &servers)
{
    std::size_t index = 1;
    const auto number = [&json, &index] {
        const Json &item = json.at(index++);
        if (!item.is_number_unsigned()) {
            throw Json::other_error::create(0, "expected an unsigned integer", &item);
        }
        return item.get<std::uint64_t>();
    };
    Heartbeat heartbeat;
    heartbeat.from = json.at(index++).get<std::string>();
    heartbeat.incarnation = number();
    heartbeat.sequence = number();
    heartbeat.epoch = number();
    heartbeat.settingsRevision = number();
    const HeartbeatEcho echo {number(), number()};
    if (echo.incarnation != 0) {
        heartbeat.echo = echo;
    }
    const auto flags = number();
    heartbeat.ready = (flags & readyFlag) != 0;
    heartbeat.leaving = (flags & leavingFlag) != 0;
    heartbeat.contactMask = number();
    const auto hash = static_cast<std::uint32_t>(number());
    heartbeat.serversReadable = servers.knows(hash);
    const auto readServers = [&] { return servers.fromBits(hash, readBinary(json.at(index++))); };
    heartbeat.owned = readServers();
    const std::vector<BackendServerId> notOwned = readServers();
    std::set_union(heartbeat.owned.begin(), heartbeat.owned.end(), notOwned.begin(), notOwned.end(),
                   std::back_inserter(heartbeat.requested));
    heartbeat.granted = readServers();
    return heartbeat;
}

ControlMessage readMessage(const Json &json, const HeartbeatServerList &servers)
{
    switch (static_cast<MessageType>(json.at(0).get<int>())) {
    case MessageType::Heartbeat:
        return readHeartbeat(json, servers);
    case MessageType::MemberRecord: {
        Reason reason;
        if (auto record = MemberRecord::parse(json.at(1).get<std::string>(), reason)) {
            return std::move(*record);
        }
        throw Json::other_error::create(0, reason.text, &json);
    }
    case MessageType::SettingsRequest:
        return SettingsRequest {json.at(1).get<std::string>()};
    case MessageType::SettingsCopy:
        return SettingsCopy {json.at(1).get<std::string>()};
    }
    throw Json::other_error::create(0, "unknown message type", &json);
}

} // namespace

std::string encodeControlMessage(const ControlMessage &message, const HeartbeatServerList &servers)
{
    const Json json
        = std::visit([&servers](const auto &value) { return toJson(value, servers); }, message);
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

std::optional<ControlMessage>
decodeControlMessage(const std::string &bytes, const HeartbeatServerList &servers, Reason &reason)
{
    try {
        return readMessage(parseCbor(bytes), servers);
    } catch (const Json::exception &error) {
        reason = {ResultCode::InvalidMessage, error.what()};
        return std::nullopt;
    }
}

} // namespace pimentoward
