#include "Pimentoward/Connection/OwnedBackend.h"

namespace pimentoward {

namespace {

ConnectionBudget::Settings budgetSettings(const BackendServer &server)
{
    ConnectionBudget::Settings budget;
    budget.connections = server.connections;
    budget.slots = server.slots;
    budget.connectionCost = server.connectionCost;
    return budget;
}

} // namespace

OwnedBackend::OwnedBackend(event_base *loop, const Clock &clock, ServiceName serviceName,
                           const BackendServer &server, const BackendDispatcher::Settings &settings)
    : service(std::move(serviceName))
    , description(server)
    , dispatcher(settings)
    , pool(loop, clock, server.address, budgetSettings(server), [this] { dispatcher.assumeCold(); })
{ }

} // namespace pimentoward
