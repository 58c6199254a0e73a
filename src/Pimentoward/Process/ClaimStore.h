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
    /// Store calls a second that the claims of all VMs together may make.
    double storeCallsPerSecond = 200;
    /// Calls that one VM may make at once after a quiet time.
    double burst = 8;
};

/// The claim buckets of one VM: carries out what they decide against the store, within the share
/// of the store's rate that this VM has.
class ClaimStore
{
public:
    /// Buckets over which the keys of one group are spread.
    static constexpr unsigned buckets = 256;

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

    void claim(const ClaimRequest &request);
    void settle(const ClaimSettlement &settlement);
    /// The rate is shared by this many VMs.
    void changeMembers(std::size_t members);
    /// Claims and settlements that are not committed yet.
    std::size_t waiting() const;

    /// Bucket of a key.
    static unsigned bucketOf(const ServiceName &service, const std::string &key);
    /// Name of a bucket: its store key, and what its owner is ranked by.
    static std::string bucketName(unsigned bucket);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace pimentoward
