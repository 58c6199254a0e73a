#include "Pimentoward/Discovery/MemberAnnouncement.h"

#include "Pimentoward/Core/BoundedJson.h"

#include <nlohmann/json.hpp>

namespace pimentoward {

std::string encodeMember(const FeedChooser::Member &member)
{
    return nlohmann::json {{"address", member.address.toString()},
                           {"failureDomain", member.failureDomain},
                           {"capacity", member.capacity}}
        .dump();
}

std::optional<FeedChooser::Member> decodeMember(const MemberId &id, const std::string &text,
                                                Reason &reason)
{
    const nlohmann::json json = parseJson(text);
    const bool isValid = json.is_object() && json.contains("address") && json["address"].is_string()
        && json.contains("failureDomain") && json["failureDomain"].is_string();
    if (!isValid) {
        reason = {ResultCode::InvalidMessage,
                  "the record is not a JSON object with an address and a failure domain"};
        return std::nullopt;
    }
    const auto address = Address::parse(json["address"].get<std::string>(), reason);
    if (!address) {
        return std::nullopt;
    }
    FeedChooser::Member member {id, json["failureDomain"].get<std::string>(), *address, 0};
    if (const auto capacity = json.find("capacity");
        capacity != json.end() && capacity->is_number_unsigned()) {
        member.capacity = capacity->get<std::uint64_t>();
    }
    return member;
}

} // namespace pimentoward
