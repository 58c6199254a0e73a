#pragma once

#include "Pimentoward/Core/Types.h"
#include "Pimentoward/Sharing/SharedSection.h"

#include <optional>
#include <string>
#include <vector>

namespace pimentoward {

/// A message between VMs: a question with sections, or the answer to one. The answer has an entry
/// for each section of the question; an entry is empty if the VM has no answer to that section.
struct SharedMessage
{
    /// The VM that sent the message.
    MemberId from;
    std::vector<std::optional<SharedSection>> sections;
};

/// Maximum size of an encoded message, in bytes.
constexpr std::size_t maxSharedMessageBytes = 65'536;
/// Maximum number of sections in a message.
constexpr std::size_t maxSharedSections = 64;

std::string encode(const SharedMessage &message);
/// Returns nothing if the bytes are malformed, larger than a message may be, or of a version that
/// this VM does not know. Sections about unknown topics are kept, so that their places count.
std::optional<SharedMessage> decodeSharedMessage(const std::string &bytes);

} // namespace pimentoward
