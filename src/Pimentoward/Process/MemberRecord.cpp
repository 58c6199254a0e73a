#include "Pimentoward/Process/MemberRecord.h"

#include <nlohmann/json.hpp>

namespace pimentoward {

namespace {

using Json = nlohmann::json;

} // namespace

std::optional<MemberRecord> MemberRecord::parse(const std::string &json, Reason &reason)
{
    try {
        const Json parsed = Json::parse(json);
        MemberRecord record;
        record.epoch = parsed.at("epoch").get<Epoch>();
        for (const Json &item : parsed.at("members")) {
            Member member {item.at("id").get<std::string>(), item.at("host").get<std::string>(),
                           item.at("failureDomain").get<std::string>()};
            record.members[member.id] = std::move(member);
        }
        return record;
    } catch (const Json::exception &error) {
        reason
            = {ResultCode::InvalidMessage, std::string("malformed member list: ") + error.what()};
        return std::nullopt;
    }
}

std::string MemberRecord::toJson() const
{
    Json list = Json::array();
    for (const auto &[id, member] : members) {
        list.push_back(
            {{"id", id}, {"host", member.host}, {"failureDomain", member.failureDomain}});
    }
    return Json {{"epoch", epoch}, {"members", std::move(list)}}.dump();
}

} // namespace pimentoward
