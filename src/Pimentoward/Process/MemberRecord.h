#pragma once

#include "Pimentoward/Core/Reason.h"
#include "Pimentoward/Process/ControlView.h"

#include <map>
#include <optional>
#include <string>

namespace pimentoward {

/// The numbered member list of a group, as store key "group/members" holds it. Epoch 0 is the
/// absence of a list.
struct MemberRecord
{
    Epoch epoch = 0;
    std::map<MemberId, Member> members;

    /// Reads the stored JSON text; fails with InvalidMessage.
    static std::optional<MemberRecord> parse(const std::string &json, Reason &reason);
    /// The text that parse() reads.
    std::string toJson() const;
};

} // namespace pimentoward
