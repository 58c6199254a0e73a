#include "Pimentoward/Process/ControlTask.h"

#include "Pimentoward/Connection/HttpServer.h"
#include "Pimentoward/Connection/PeerHub.h"
#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Process/ControlMessages.h"
#include "Pimentoward/Process/ControlTaskMembers.h"
#include "Pimentoward/Process/ControlTaskServices.h"
#include "Pimentoward/Process/HttpStore.h"
#include "Pimentoward/Process/Membership.h"
#include "Pimentoward/Process/MembershipDump.h"
#include "Pimentoward/Process/Metrics.h"
#include "Pimentoward/Process/OperatorApi.h"
#include "Pimentoward/Process/ReleasedServers.h"
#include "Pimentoward/Process/SettingsSyncDriver.h"
#include "Pimentoward/Process/Task.h"
#include "Pimentoward/Process/Timer.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>
#include <set>
#include <utility>

namespace pimentoward {

namespace {

constexpr int statusOk = 200;
constexpr std::chrono::milliseconds tickPeriod {50};
constexpr std::chrono::milliseconds publishPeriod {100};
/// A starting VM accepts requests this long after the hold time has passed, even if some backend
/// servers have no known owner.
constexpr std::chrono::seconds maxStartTime {3};

/// Returns a random number, so that it differs from the incarnations of earlier runs of this VM. It
/// is never 0, because incarnation 0 in a heartbeat means that it contains no echo.
Incarnation newIncarnation()
{
    std::random_device random;
    return std::uint64_t {random()} | 1U;
}

} // namespace

struct ControlTask::State
{
    State(const ControlTaskSettings &taskSettings, const Clock &taskClock, Hooks taskHooks)
        : settings(taskSettings)
        , clock(taskClock)
        , hooks(std::move(taskHooks))
        , task("control")
        , http(task.loop(), {})
        , store(task.loop(), taskSettings.platform, taskSettings.storeCallTimeout)
        , startedAt(taskClock.now())
        , membership(taskSettings.membership, taskSettings.self, newIncarnation(), startedAt)
        , members(task.loop(), taskClock, store, taskSettings.self, membership)
        , services(task.loop(), store, [this] { updateServices(); })
        , hub(task.loop(), taskSettings.self.id,
              [this](const std::string &bytes) { onPeerMessage(bytes); })
        , tickTimer(task.loop(), [this] { tick(); })
        , settingsSync(settingsSyncSettings(), store, taskClock, settingsSyncHooks())
        , api(http, settingsSync, taskClock, metrics,
              {[this](const auto &done) { done(metrics.render()); },
               [this] { return hasStarted && clock.now() < contactUntil(); },
               [this](ExceptionScope scope) { return knownTargets(scope); }})
    {
        settingsDocument = std::make_shared<const SettingsDocument>();
        membership.setIdleHook([this](const BackendServerId &id) { return released.isIdle(id); });
        http.route("GET", "/state", [this](const HttpRequest &, const auto &respond) {
            dump([respond](const nlohmann::json &state) {
                constexpr int indent = 2;
                respond({statusOk, state.dump(indent) + "\n", "application/json", {}});
            });
        });
    }

    ControlTaskSettings settings;
    const Clock &clock;
    Hooks hooks;
    Task task;
    HttpServer http;
    HttpStore store;
    SteadyTime startedAt;
    Membership membership;
    ControlTaskMembers members;
    ControlTaskServices services;
    HeartbeatServerList serverList;
    PeerHub hub;
    Timer tickTimer;
    Metrics metrics;
    SettingsSyncDriver settingsSync;
    OperatorApi api;
    std::set<MemberId> settingsSyncMembers;
    ReleasedServers released;
    std::uint64_t viewSequence = 0;
    std::shared_ptr<const SettingsDocument> settingsDocument;
    std::map<MemberId, Address> peerAddresses;
    /// Backend servers to which the last published view lets this VM dispatch.
    std::set<BackendServerId> publishedOwned;
    SteadyTime publishedAt {};
    /// True once this VM has known an owner of every backend server, or the time limit for this has
    /// passed. Until then, published views permit no new work.
    bool hasStarted = false;
    std::uint64_t badMessages = 0;
    std::function<void()> onLeft;
    log4cplus::Logger log = Log::part("control");

    SettingsSyncSettings settingsSyncSettings() const
    {
        SettingsSyncSettings result;
        result.self = settings.self.id;
        return result;
    }

    SettingsSyncDriver::Hooks settingsSyncHooks()
    {
        return {[this](const MemberId &to, const std::string &document) {
                    hub.send(to, encodeControlMessage(SettingsCopy {document}, serverList));
                },
                [this](const MemberId &to) {
                    hub.send(to,
                             encodeControlMessage(SettingsRequest {settings.self.id}, serverList));
                },
                [this](const auto &document) {
                    settingsDocument = document;
                    publishView();
                }};
    }

    std::vector<std::string> knownTargets(ExceptionScope scope) const
    {
        std::set<std::string> names;
        if (scope == ExceptionScope::OneService) {
            for (const auto &[name, catalog] : services.services()) {
                names.insert(name);
            }
        } else {
            for (const auto &[id, failureDomain] : services.backendServers()) {
                names.insert(failureDomain);
            }
            for (const auto &[id, member] : membership.list().record().members) {
                names.insert(member.failureDomain);
            }
        }
        return {names.begin(), names.end()};
    }

    /// Passes the IDs of the members to `settingsSync` if they have changed.
    void updateSettingsSyncMembers()
    {
        std::set<MemberId> ids;
        for (const auto &[id, member] : membership.list().record().members) {
            ids.insert(id);
        }
        if (ids != settingsSyncMembers) {
            settingsSyncMembers = ids;
            settingsSync.updateMembers({ids.begin(), ids.end()});
        }
    }

    /// Passes the settings state of `from`, as its last heartbeat reported it, to `settingsSync`.
    void reportSettings(const MemberId &from)
    {
        const auto *peer = membership.peers().find(from);
        if (peer == nullptr) {
            return;
        }
        const SteadyTime echo = membership.contact().lastEcho(from);
        settingsSync.onReport({from, peer->settingsRevision, peer->ready,
                               echo == SteadyTime {} ? std::nullopt : std::optional(echo)});
    }

    SteadyTime contactUntil() const
    {
        return std::min(membership.contactUntil(clock.now()), settingsSync.serveUntil());
    }

    void start()
    {
        members.start();
        services.start();
        tick();
        tickTimer.startRepeating(tickPeriod);
    }

    void tick()
    {
        updateSettingsSyncMembers();
        settingsSync.tick();
        membership.updateSettings(settingsDocument->revision, settingsSync.isReady());
        // The view is published before the heartbeats are sent, so that this VM stops dispatching
        // to a backend server before other members learn that it has released it.
        const Membership::Actions actions = membership.tick(clock.now());
        afterEvent();
        send(actions);
        requestBusyReport();
        const bool isRemoved
            = membership.isReady() && !membership.list().contains(settings.self.id);
        if (onLeft && (isRemoved || !membership.holdsBackendServers())) {
            std::exchange(onLeft, nullptr)();
        }
    }

    /// Requests a busy report from the query task. A released backend server at which no work of
    /// this VM runs can be handed over at once.
    void requestBusyReport()
    {
        if (!released.needsReport()) {
            return;
        }
        hooks.queryBusyReport(
            [this](std::uint64_t sequence, const std::set<BackendServerId> &busy) {
                task.post([this, sequence, busy] { released.onReport(sequence, busy); });
            });
    }

    void onPeerMessage(const std::string &bytes)
    {
        Reason reason;
        const auto message = decodeControlMessage(bytes, serverList, reason);
        if (!message) {
            ++badMessages;
            LOG4CPLUS_WARN(log, "Rejected an invalid control message: " << reason.text);
            return;
        }
        Membership::Actions actions;
        if (const auto *heartbeat = std::get_if<Heartbeat>(&*message)) {
            actions = membership.onHeartbeat(*heartbeat, clock.now());
            reportSettings(heartbeat->from);
        } else if (const auto *record = std::get_if<MemberRecord>(&*message)) {
            membership.onMemberList(*record, clock.now());
        } else if (const auto *settingsRequest = std::get_if<SettingsRequest>(&*message)) {
            settingsSync.onDocumentRequest(settingsRequest->from);
        } else if (const auto *copy = std::get_if<SettingsCopy>(&*message)) {
            settingsSync.onDocument(copy->document);
        }
        afterEvent();
        send(actions);
    }

    void send(const Membership::Actions &actions)
    {
        for (const Membership::Action &action : actions) {
            if (const auto *heartbeat = std::get_if<Membership::SendHeartbeat>(&action)) {
                hub.send(heartbeat->to, encodeControlMessage(heartbeat->heartbeat, serverList));
            } else if (const auto *memberList = std::get_if<Membership::SendMemberList>(&action)) {
                hub.send(memberList->to, encodeControlMessage(memberList->record, serverList));
            }
        }
    }

    void updateServices()
    {
        const auto servers = services.backendServers();
        std::vector<BackendServerId> ids;
        ids.reserve(servers.size());
        for (const auto &[id, failureDomain] : servers) {
            ids.push_back(id);
        }
        serverList.update(std::move(ids));
        membership.updateBackendServers(servers);
        publishView();
    }

    void updatePeers()
    {
        std::map<MemberId, Address> addresses;
        const std::uint16_t port = settings.peerListen.port;
        for (const auto &[id, vm] : membership.vms()) {
            addresses[id] = {vm.host, port};
        }
        for (const auto &[id, member] : membership.list().record().members) {
            addresses[id] = {member.host, port};
        }
        addresses.erase(settings.self.id);
        if (addresses != peerAddresses) {
            peerAddresses = std::move(addresses);
            hub.updatePeers(peerAddresses);
        }
    }

    /// Updates the peer addresses. Publishes a view at once if the owned backend servers have
    /// changed, otherwise once per `publishPeriod`.
    void afterEvent()
    {
        updatePeers();
        const SteadyTime now = clock.now();
        std::set<BackendServerId> owned;
        for (const auto &[id, until] : membership.ownedUntil(now)) {
            owned.insert(id);
        }
        if (owned != publishedOwned || now >= publishedAt + publishPeriod) {
            publishedOwned = std::move(owned);
            publishView();
        }
    }

    void publishView()
    {
        const SteadyTime now = clock.now();
        publishedAt = now;
        auto view = std::make_shared<ControlView>();
        view->sequence = ++viewSequence;
        view->epoch = membership.list().epoch();
        view->members = membership.list().record().members;
        view->services = services.services();
        view->settings = settingsDocument;
        view->maxDispatchTime = settings.membership.maxDispatchTime;
        view->leaving = membership.isLeaving();
        std::set<BackendServerId> owned;
        for (const auto &[id, until] : membership.ownedUntil(now)) {
            view->ownedUntil[id] = until;
            owned.insert(id);
        }
        released.onPublished(view->sequence, owned);
        for (const auto &[id, member] : membership.owners(now)) {
            view->owners[id] = member;
        }
        // A starting VM accepts no caller requests until it knows an owner of every backend server,
        // or until the latest start time.
        const SteadyTime latestStart = startedAt + settings.membership.holdTime() + maxStartTime;
        hasStarted |= now >= latestStart
            || (!services.services().empty() && membership.unownedCount(now) == 0);
        view->contactUntil = hasStarted ? contactUntil() : SteadyTime {};
        hooks.publish(std::move(view));
    }

    nlohmann::json ownDump() const
    {
        nlohmann::json dump = membershipDump(membership, clock.now());
        dump["self"] = settings.self.id;
        dump["settingsRevision"] = settingsDocument->revision;
        dump["storeCalls"] = store.calls();
        dump["controlBytesSent"] = hub.bytesSent();
        dump["controlBytesReceived"] = hub.bytesReceived();
        dump["badControlMessages"] = badMessages;
        return dump;
    }

    /// Passes the state of this task together with that of the query task to `hook`. Must be called
    /// on the control task; `hook` runs there too.
    void dump(const DumpHook &hook)
    {
        hooks.queryDump([this, hook](const nlohmann::json &query) {
            task.post([this, hook, query] {
                nlohmann::json fullDump = ownDump();
                fullDump["query"] = query;
                hook(fullDump);
            });
        });
    }
};

ControlTask::ControlTask(const ControlTaskSettings &settings, const Clock &clock, Hooks hooks)
    : m_state(std::make_unique<State>(settings, clock, std::move(hooks)))
{ }

ControlTask::~ControlTask()
{
    stop();
}

bool ControlTask::listen(Reason &reason)
{
    return m_state->http.listen(m_state->settings.operatorListen, reason)
        && m_state->hub.listen(m_state->settings.peerListen, reason);
}

void ControlTask::start()
{
    m_state->task.post([state = m_state.get()] { state->start(); });
    m_state->task.start();
}

void ControlTask::stop()
{
    m_state->task.stop();
}

void ControlTask::postLeave(std::function<void()> done)
{
    m_state->task.post([state = m_state.get(), done = std::move(done)] {
        state->onLeft = done;
        state->membership.leave();
        state->publishView();
    });
}

void ControlTask::postDump(DumpHook hook)
{
    m_state->task.post([state = m_state.get(), hook = std::move(hook)] { state->dump(hook); });
}

} // namespace pimentoward
