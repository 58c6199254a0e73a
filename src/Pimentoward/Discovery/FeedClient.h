#pragma once

#include "Pimentoward/Connection/HttpClient.h"
#include "Pimentoward/Discovery/FeedMessages.h"
#include "Pimentoward/Process/Timer.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

struct event_base;

namespace pimentoward {

/// Reads other VMs' copies of the store. Belongs to one task; the hooks run on its loop, never
/// inside the call.
class FeedClient
{
public:
    using PageHook = KeyValueStore::Hook<FeedPage>;
    using ChangesHook = KeyValueStore::Hook<FeedChanges>;

    explicit FeedClient(event_base *loop);

    /// Reads the page after the key `after` of the copy of `vm`.
    void range(const Address &vm, const std::string &after, PageHook done);
    /// Asks `vm` for changes after the revision `after`; the VM answers after `wait` at the latest.
    void watch(const Address &vm, const StorePosition &after, Duration wait, ChangesHook done);

    /// Number of VMs to which connections are kept.
    std::size_t clients() const { return m_clients.size(); }

private:
    /// Closes the connections to VMs that are not asked now. VMs that have left would otherwise
    /// keep theirs for as long as this process runs.
    void removeIdleClients();
    HttpClient &clientOf(const Address &vm);

    event_base *m_loop;
    std::map<std::string, std::unique_ptr<HttpClient>> m_clients;
    /// Runs removeIdleClients() from the event loop, since a client may be in use when its hook
    /// asks another VM.
    Timer m_cleanupTimer;
};

} // namespace pimentoward
