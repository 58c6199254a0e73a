#include "Pimentoward/Discovery/FeedClient.h"

#include "Pimentoward/Connection/UriEscape.h"
#include "Pimentoward/Discovery/FeedPaths.h"

namespace pimentoward {

namespace {

/// A VM answers from memory, so one that takes longer is frozen, cut off or stopped.
constexpr std::chrono::milliseconds rangeTimeout {1000};
/// Time that a watch may take beyond its wait.
constexpr std::chrono::milliseconds watchMargin {700};

StoreFailure failureOf(int status)
{
    constexpr int gone = 410;
    return {status == gone ? StoreError::HistoryGone : StoreError::Refused,
            "VM answered with status " + std::to_string(status)};
}

/// Maximum number of VMs with connections; beyond it, idle ones are closed. One VM is asked at a
/// time, and another one when it fails.
constexpr std::size_t maxClients = 8;

template <typename Message, typename Decode>
HttpConnection::DoneHook hookFor(KeyValueStore::Hook<Message> done, Decode decode)
{
    return [done = std::move(done), decode](const std::optional<HttpAnswer> &answer,
                                            const Reason &reason) {
        constexpr int ok = 200;
        if (!answer) {
            done(std::nullopt, {StoreError::Unanswered, "no answer from VM: " + reason.text});
            return;
        }
        if (answer->status != ok) {
            done(std::nullopt, failureOf(answer->status));
            return;
        }
        Reason malformed;
        std::optional<Message> message = decode(answer->body, malformed);
        const bool isDecoded = message.has_value();
        done(std::move(message),
             isDecoded ? StoreFailure() : StoreFailure {StoreError::Malformed, malformed.text});
    };
}

} // namespace

FeedClient::FeedClient(event_base *loop)
    : m_loop(loop)
    , m_cleanupTimer(loop, [this] { removeIdleClients(); })
{ }

void FeedClient::removeIdleClients()
{
    for (auto it = m_clients.begin(); it != m_clients.end();) {
        it = it->second->isIdle() ? m_clients.erase(it) : std::next(it);
    }
}

HttpClient &FeedClient::clientOf(const Address &vm)
{
    std::unique_ptr<HttpClient> &client = m_clients[vm.toString()];
    if (!client) {
        client = std::make_unique<HttpClient>(m_loop, vm);
        if (m_clients.size() > maxClients) {
            m_cleanupTimer.startOnce(Duration::zero());
        }
    }
    return *client;
}

void FeedClient::range(const Address &vm, const std::string &after, PageHook done)
{
    HttpCall call;
    call.target = std::string(feedRangePath) + "?after=" + uriEscape(after);
    call.timeout = rangeTimeout;
    clientOf(vm).send(call, hookFor<FeedPage>(std::move(done), &decodeFeedPage));
}

void FeedClient::watch(const Address &vm, const StorePosition &after, Duration wait,
                       ChangesHook done)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(wait);
    HttpCall call;
    call.target = std::string(feedWatchPath) + "?after=" + std::to_string(after.revision)
        + "&waitMs=" + std::to_string(milliseconds.count());
    if (after.era > 0) {
        call.target += "&era=" + std::to_string(after.era);
    }
    call.timeout = wait + watchMargin;
    clientOf(vm).send(call, hookFor<FeedChanges>(std::move(done), &decodeFeedChanges));
}

} // namespace pimentoward
