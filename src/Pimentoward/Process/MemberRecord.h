#pragma once

#include "Pimentoward/Core/Reason.h"
#include "Pimentoward/Process/ControlView.h"

#include <map>
#include <optional>
#include <string>

namespace pimentoward {

/// The numbered member list of a group, stored under the key "group/members". Epoch 0 means that
/// there is no list.
struct MemberRecord
{
    Epoch epoch = 0;
    std::map<MemberId, Member> members;

    /// Parses the stored JSON text. Fails with InvalidMessage.
    static std::optional<MemberRecord> parse(const std::string &json, Reason &reason);
    /// Returns the JSON text that parse() reads.
    std::string toJson() const;
};

} // namespace pimentoward
