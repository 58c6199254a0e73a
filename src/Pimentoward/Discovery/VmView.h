#pragma once

#include "Pimentoward/Discovery/FeedChooser.h"

#include <memory>
#include <vector>

namespace pimentoward {

/// The VMs of the tier whose records are in the store, and when that was last so.
struct VmView
{
    using List = std::shared_ptr<const std::vector<FeedChooser::Member>>;

    /// In the order of their names. The same object as in the view before if nothing has changed.
    List vms;
    /// The latest time at which the list was known to match the store.
    SteadyTime confirmedAt {};
};

} // namespace pimentoward
