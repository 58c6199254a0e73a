#include "Pimentoward/Process/ControlView.h"

namespace pimentoward {

std::optional<Reason> ControlView::refusal(const ServiceName &service, SteadyTime now) const
{
    if (!hasContact(now)) {
        return Reason {ResultCode::NotRunNoContact, {}};
    }
    if (leaving) {
        return Reason {ResultCode::NotRunLeaving, {}};
    }
    if (services.count(service) == 0) {
        return Reason {ResultCode::UnknownService, "there is no service '" + service + "'"};
    }
    return std::nullopt;
}

} // namespace pimentoward
