#pragma once

#include "Pimentoward/Core/Clock.h"
#include "Pimentoward/Process/ClaimBucket.h"
#include "Pimentoward/Process/ClaimMessages.h"
#include "Pimentoward/Process/Store.h"

#include <functional>
#include <memory>
#include <vector>

struct event_base;

namespace pimentoward {

/// Settings of a ClaimStore.
struct ClaimStoreSettings
{
    ClaimBucket::Settings bucket;
    /// Maximum store calls per second for the claims of all VMs together.
    double storeCallsPerSecond = 200;
    /// Maximum calls that one VM may make in a burst after an idle period.
    double burst = 8;
};

/// Holds the claim buckets of one VM and carries out their actions: it reads and writes the store
/// within this VM's share of the call rate, and passes replies to the hooks.
class ClaimStore
{
public:
    /// Number of buckets over which the keys of one group are distributed.
    static constexpr unsigned buckets = 256;

    /// Hooks that send messages to the coordinators.
    struct Hooks
    {
        std::function<void(const MemberId &coordinator, const ClaimReply &)> reply;
        std::function<void(const MemberId &coordinator, const ClaimSettled &)> settled;
    };

    /// `store` and `clock` must outlive this object and belong to the same task.
    ClaimStore(event_base *loop, const Clock &clock, Store &store,
               const ClaimStoreSettings &settings, Hooks hooks);
    ~ClaimStore();
    ClaimStore(const ClaimStore &) = delete;
    ClaimStore &operator=(const ClaimStore &) = delete;

    /// Accepts a claim. The reply hook is called exactly once for it, never inside this call.
    void claim(const ClaimRequest &request);
    /// Accepts a settlement. The settled hook is called once it is committed.
    void settle(const ClaimSettlement &settlement);
    /// Divides the store call rate by this number of VMs.
    void changeMembers(std::size_t members);
    /// Returns the number of claims and settlements that are not committed yet.
    std::size_t waiting() const;

    /// Returns the number of the bucket that holds a key.
    static unsigned bucketOf(const ServiceName &service, const std::string &key);
    /// Returns the name of a bucket. It is the bucket's store key, and the rendezvous hash of it
    /// determines the bucket's owner.
    static std::string bucketName(unsigned bucket);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace pimentoward
