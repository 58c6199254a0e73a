#pragma once

namespace pimentoward {

/// HTTP paths at which a VM serves its copy of the store to other VMs.
inline constexpr const char *feedRangePath = "/feed/range";
inline constexpr const char *feedWatchPath = "/feed/watch";

} // namespace pimentoward
