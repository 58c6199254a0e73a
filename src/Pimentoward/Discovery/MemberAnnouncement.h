#pragma once

#include "Pimentoward/Discovery/FeedChooser.h"

#include <optional>
#include <string>

namespace pimentoward {

/// What a VM writes of itself into the store.
std::string encodeMember(const FeedChooser::Member &member);
/// Nothing and InvalidMessage in `reason` where the text is no announcement.
std::optional<FeedChooser::Member> decodeMember(const MemberId &id, const std::string &text,
                                                Reason &reason);

} // namespace pimentoward
