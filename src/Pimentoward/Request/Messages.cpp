#include "Pimentoward/Request/Messages.h"

#include "Pimentoward/Core/BoundedJson.h"
#include "Pimentoward/Core/WallClockCodec.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace pimentoward {

namespace {

using Json = nlohmann::json;

/// The value of field "t", which selects the type of the message.
enum class MessageType : int {
    SubrequestBatch = 1,
    SubrequestCancel = 2,
    Subreply = 3,
    ClaimRequest = 4,
    ClaimReply = 5,
    ClaimSettlement = 6,
    ClaimSettled = 7
};

/// Maximum number of subrequests in one batch.
constexpr std::size_t maxItems = 4096;

Json binary(const std::string &bytes)
{
    return Json::binary({bytes.begin(), bytes.end()});
}

std::string readBinary(const Json &json)
{
    const auto &bytes = json.get_binary();
    return {bytes.begin(), bytes.end()};
}

/// Reads a duration of 0 to 24 hours in the unit `Unit`. The bound keeps sums of times and
/// durations from overflowing.
template <typename Unit>
Unit readDuration(const Json &json)
{
    constexpr Unit maxDuration = std::chrono::hours(24);
    const auto count = json.get<std::int64_t>();
    if (count < 0 || count > maxDuration.count()) {
        throw Json::other_error::create(0, "duration is not within 0 to 24 hours", &json);
    }
    return Unit(count);
}

RequestClass readRequestClass(const Json &json)
{
    const auto number = json.get<std::uint64_t>();
    if (number > static_cast<std::uint64_t>(RequestClass::Batch)) {
        throw Json::other_error::create(0, "unknown request class", &json);
    }
    return static_cast<RequestClass>(number);
}

// Field keys are single letters to keep messages small, because every subrequest has its own reply.

Json toJson(const SubrequestBatch &batch)
{
    Json items = Json::array();
    for (const SubrequestItem &item : batch.items) {
        items.push_back(Json::array({item.number, item.shard, item.backendServer}));
    }
    return {{"t", static_cast<int>(MessageType::SubrequestBatch)},
            {"r", batch.requestId},
            {"o", batch.coordinator},
            {"s", batch.service},
            {"v", batch.version},
            {"c", static_cast<unsigned>(batch.requestClass)},
            {"l", std::max<std::int64_t>(batch.timeLeft.count(), 0)},
            {"a", batch.atMostOnce},
            {"b", binary(batch.body)},
            {"i", std::move(items)}};
}

Json toJson(const SubrequestCancel &cancel)
{
    return {{"t", static_cast<int>(MessageType::SubrequestCancel)},
            {"r", cancel.requestId},
            {"o", cancel.coordinator},
            {"n", cancel.numbers}};
}

Json toJson(const Subreply &reply)
{
    return {{"t", static_cast<int>(MessageType::Subreply)},
            {"r", reply.requestId},
            {"n", reply.number},
            {"s", reply.shard},
            {"k", reply.backendServer},
            {"v", reply.version},
            {"c", static_cast<unsigned>(reply.code)},
            {"d", reply.detail},
            {"b", binary(reply.body)},
            {"q", reply.load.queueLength},
            {"m", reply.load.limit},
            {"u", reply.load.serviceTime.count()},
            {"w", reply.load.cold}};
}

Json toJson(const ClaimRequest &request)
{
    return {{"t", static_cast<int>(MessageType::ClaimRequest)},
            {"k", request.token},
            {"o", request.coordinator},
            {"s", request.service},
            {"i", request.key},
            {"h", request.contentHash},
            {"e", WallClockCodec::encode(request.expiry)},
            {"l", std::max<std::int64_t>(request.timeLeft.count(), 0)}};
}

Json toJson(const ClaimReply &reply)
{
    return {{"t", static_cast<int>(MessageType::ClaimReply)},
            {"k", reply.token},
            {"v", static_cast<unsigned>(reply.verdict)},
            {"c", static_cast<unsigned>(reply.code)},
            {"b", binary(reply.body)}};
}

Json toJson(const ClaimSettlement &settlement)
{
    return {{"t", static_cast<int>(MessageType::ClaimSettlement)},
            {"k", settlement.token},
            {"o", settlement.coordinator},
            {"s", settlement.service},
            {"i", settlement.key},
            {"r", settlement.ran},
            {"c", static_cast<unsigned>(settlement.code)},
            {"b", binary(settlement.body)}};
}

Json toJson(const ClaimSettled &settled)
{
    return {{"t", static_cast<int>(MessageType::ClaimSettled)}, {"k", settled.token}};
}

ClaimRequest readClaimRequest(const Json &json)
{
    ClaimRequest request;
    request.token = json.at("k").get<std::string>();
    request.coordinator = json.at("o").get<std::string>();
    request.service = json.at("s").get<std::string>();
    request.key = json.at("i").get<std::string>();
    request.contentHash = json.at("h").get<std::uint64_t>();
    request.expiry = WallClockCodec::read(json.at("e"));
    request.timeLeft = readDuration<std::chrono::milliseconds>(json.at("l"));
    return request;
}

ClaimReply readClaimReply(const Json &json)
{
    const auto verdict = json.at("v").get<std::uint64_t>();
    if (verdict > static_cast<std::uint64_t>(ClaimVerdict::Full)) {
        throw Json::other_error::create(0, "unknown claim verdict", &json);
    }
    return {json.at("k").get<std::string>(), static_cast<ClaimVerdict>(verdict),
            resultCodeFromNumber(json.at("c").get<std::uint64_t>()), readBinary(json.at("b"))};
}

ClaimSettlement readClaimSettlement(const Json &json)
{
    ClaimSettlement settlement;
    settlement.token = json.at("k").get<std::string>();
    settlement.coordinator = json.at("o").get<std::string>();
    settlement.service = json.at("s").get<std::string>();
    settlement.key = json.at("i").get<std::string>();
    settlement.ran = json.at("r").get<bool>();
    settlement.code = resultCodeFromNumber(json.at("c").get<std::uint64_t>());
    settlement.body = readBinary(json.at("b"));
    return settlement;
}

SubrequestBatch readBatch(const Json &json)
{
    SubrequestBatch batch;
    batch.requestId = json.at("r").get<std::string>();
    batch.coordinator = json.at("o").get<std::string>();
    batch.service = json.at("s").get<std::string>();
    batch.version = json.at("v").get<std::uint64_t>();
    batch.requestClass = readRequestClass(json.at("c"));
    batch.timeLeft = readDuration<std::chrono::milliseconds>(json.at("l"));
    batch.atMostOnce = json.at("a").get<bool>();
    batch.body = readBinary(json.at("b"));
    const Json &items = json.at("i");
    if (items.size() > maxItems) {
        throw Json::other_error::create(0, "a batch holds more than 4096 subrequests", &items);
    }
    for (const Json &item : items) {
        batch.items.push_back({item.at(0).get<std::uint32_t>(), item.at(1).get<std::string>(),
                               item.at(2).get<std::string>()});
    }
    return batch;
}

SubrequestCancel readCancel(const Json &json)
{
    return {json.at("r").get<std::string>(), json.at("o").get<std::string>(),
            json.at("n").get<std::vector<std::uint32_t>>()};
}

Subreply readSubreply(const Json &json)
{
    Subreply reply;
    reply.requestId = json.at("r").get<std::string>();
    reply.number = json.at("n").get<std::uint32_t>();
    reply.shard = json.at("s").get<std::string>();
    reply.backendServer = json.at("k").get<std::string>();
    reply.version = json.at("v").get<std::uint64_t>();
    reply.code = resultCodeFromNumber(json.at("c").get<std::uint64_t>());
    reply.detail = json.at("d").get<std::string>();
    reply.body = readBinary(json.at("b"));
    reply.load.queueLength = json.at("q").get<std::uint32_t>();
    reply.load.limit = json.at("m").get<std::uint32_t>();
    reply.load.serviceTime = readDuration<std::chrono::microseconds>(json.at("u"));
    reply.load.cold = json.at("w").get<bool>();
    return reply;
}

PeerMessage readMessage(const Json &json)
{
    switch (static_cast<MessageType>(json.at("t").get<int>())) {
    case MessageType::SubrequestBatch:
        return readBatch(json);
    case MessageType::SubrequestCancel:
        return readCancel(json);
    case MessageType::Subreply:
        return readSubreply(json);
    case MessageType::ClaimRequest:
        return readClaimRequest(json);
    case MessageType::ClaimReply:
        return readClaimReply(json);
    case MessageType::ClaimSettlement:
        return readClaimSettlement(json);
    case MessageType::ClaimSettled:
        return ClaimSettled {json.at("k").get<std::string>()};
    }
    throw Json::other_error::create(0, "unknown message type", &json);
}

} // namespace

Subreply replyTo(const SubrequestBatch &batch, const SubrequestItem &item, const Reason &reason)
{
    Subreply reply;
    reply.requestId = batch.requestId;
    reply.number = item.number;
    reply.shard = item.shard;
    reply.backendServer = item.backendServer;
    reply.version = batch.version;
    reply.code = reason.code;
    reply.detail = reason.text;
    return reply;
}

std::string encodePeerMessage(const PeerMessage &message)
{
    const Json json = std::visit([](const auto &value) { return toJson(value); }, message);
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

std::optional<PeerMessage> decodePeerMessage(const std::string &bytes, Reason &reason)
{
    try {
        return readMessage(parseCbor(bytes));
    } catch (const Json::exception &error) {
        reason = {ResultCode::InvalidMessage, error.what()};
        return std::nullopt;
    }
}

} // namespace pimentoward
