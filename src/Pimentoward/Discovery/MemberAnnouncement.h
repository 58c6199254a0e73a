#pragma once

#include "Pimentoward/Discovery/FeedChooser.h"

#include <optional>
#include <string>

namespace pimentoward {

/// Encodes the record that a VM writes about itself into the store.
std::string encodeMember(const FeedChooser::Member &member);
/// Decodes the record of the VM `id`. Returns nothing, with a reason, if the text is not a valid
/// record.
std::optional<FeedChooser::Member> decodeMember(const MemberId &id, const std::string &text,
                                                Reason &reason);

} // namespace pimentoward
