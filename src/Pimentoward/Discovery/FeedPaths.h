#pragma once

namespace pimentoward {

/// Paths at which a VM hands its copy of the store on to other VMs.
inline constexpr const char *feedRangePath = "/feed/range";
inline constexpr const char *feedWatchPath = "/feed/watch";

} // namespace pimentoward
