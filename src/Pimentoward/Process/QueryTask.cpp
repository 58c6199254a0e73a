#include "Pimentoward/Process/QueryTask.h"

#include "Pimentoward/Connection/HttpServer.h"
#include "Pimentoward/Connection/Owner.h"
#include "Pimentoward/Connection/PeerHub.h"
#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Process/ClaimStore.h"
#include "Pimentoward/Process/HttpStore.h"
#include "Pimentoward/Process/Task.h"
#include "Pimentoward/Request/Coordinator.h"
#include "Pimentoward/Request/OrderCoordinator.h"

#include <nlohmann/json.hpp>

namespace pimentoward {

namespace {

constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;

HttpAnswer textAnswer(int status, const std::string &text)
{
    return {status, text + "\n", "text/plain", {}};
}

} // namespace

struct QueryTask::State
{
    State(const QueryTaskSettings &taskSettings, const Clock &taskClock)
        : settings(taskSettings)
        , clock(taskClock)
        , task("query")
        , http(task.loop(), taskSettings.http)
        , hub(task.loop(), taskSettings.self,
              [this](const std::string &bytes) { onPeerMessage(bytes); })
        , owner(task.loop(), taskClock,
                [this](const MemberId &to, const Subreply &reply) { sendToPeer(to, reply); })
        , coordinator(task.loop(), taskClock, taskSettings.self, taskSettings.requestPrefix,
                      {[this](const MemberId &to, const SubrequestBatch &batch) {
                           return sendToPeer(to, batch);
                       },
                       [this](const MemberId &to, const SubrequestCancel &cancel) {
                           return sendToPeer(to, cancel);
                       }})
        , store(task.loop(), taskSettings.platform, taskSettings.storeCallTimeout)
        , claims(task.loop(), taskClock, store, {},
                 {[this](const MemberId &to, const ClaimReply &reply) { sendToPeer(to, reply); },
                  [this](const MemberId &to, const ClaimSettled &settled) {
                      sendToPeer(to, settled);
                  }})
        , orders(task.loop(), taskClock, taskSettings.self, taskSettings.requestPrefix,
                 {[this](const MemberId &to, const SubrequestBatch &batch) {
                      return sendToPeer(to, batch);
                  },
                  [this](const MemberId &to, const PeerMessage &message) {
                      return sendToPeer(to, message);
                  }})
    {
        addRoutes();
    }

    QueryTaskSettings settings;
    const Clock &clock;
    Task task;
    HttpServer http;
    PeerHub hub;
    Owner owner;
    Coordinator coordinator;
    HttpStore store;
    ClaimStore claims;
    OrderCoordinator orders;
    std::shared_ptr<const ControlView> view;
    bool isStopping = false;
    std::uint64_t badMessages = 0;
    log4cplus::Logger log = Log::part("query");

    void addRoutes()
    {
        http.route("POST", "/query", [this](const HttpRequest &request, const auto &respond) {
            query(request, respond);
        });
        http.route("POST", "/order", [this](const HttpRequest &request, const auto &respond) {
            order(request, respond);
        });
        http.route("GET", "/health/live", [](const HttpRequest &, const auto &respond) {
            respond(textAnswer(statusOk, "live"));
        });
        http.route("GET", "/health/ready", [this](const HttpRequest &, const auto &respond) {
            const bool ready = !isStopping && view != nullptr && view->hasContact(clock.now())
                && !view->leaving && !view->services.empty();
            respond(ready ? textAnswer(statusOk, "ready")
                          : textAnswer(statusUnavailable, "not ready"));
        });
    }

    void query(const HttpRequest &request, const HttpServer::Responder &respond)
    {
        Reason reason;
        const auto parsed = CallerRequest::parse(request.body, reason);
        if (!parsed) {
            respond(HttpServer::errorAnswer(reason));
            return;
        }
        coordinator.query(*parsed, [respond](const QueryAnswer &answer) {
            const int status = resultCodeInfo(answer.outcome.code).httpStatus;
            respond({status, answer.toJson(), "application/json", {}});
        });
    }

    void order(const HttpRequest &request, const HttpServer::Responder &respond)
    {
        Reason reason;
        const auto parsed = OrderRequest::parse(request.body, clock.wallNow(), reason);
        if (!parsed) {
            respond(HttpServer::errorAnswer(reason));
            return;
        }
        orders.order(*parsed, [respond](const OrderAnswer &answer) {
            const int status = resultCodeInfo(answer.outcome.code).httpStatus;
            respond({status, answer.toJson(), "application/json", {}});
        });
    }

    /// Returns false if the message has not been sent.
    bool sendToPeer(const MemberId &to, const PeerMessage &message)
    {
        if (to != settings.self) {
            return hub.send(to, encodePeerMessage(message));
        }
        // A message to this VM itself is posted, so that its sender has finished its current event
        // before the message is handled or a reply arrives.
        task.post([this, message] { handle(message); });
        return true;
    }

    void onPeerMessage(const std::string &bytes)
    {
        Reason reason;
        const auto message = decodePeerMessage(bytes, reason);
        if (!message) {
            ++badMessages;
            LOG4CPLUS_WARN(log, "Rejected an invalid peer message: " << reason.text);
            return;
        }
        handle(*message);
    }

    void handle(const PeerMessage &message)
    {
        if (const auto *batch = std::get_if<SubrequestBatch>(&message)) {
            owner.accept(*batch);
        } else if (const auto *cancel = std::get_if<SubrequestCancel>(&message)) {
            owner.cancel(*cancel);
        } else if (const auto *reply = std::get_if<Subreply>(&message)) {
            if (!orders.onSubreply(*reply)) {
                coordinator.onSubreply(*reply);
            }
        } else if (const auto *claim = std::get_if<ClaimRequest>(&message)) {
            claims.claim(*claim);
        } else if (const auto *claimReply = std::get_if<ClaimReply>(&message)) {
            orders.onClaimReply(*claimReply);
        } else if (const auto *settlement = std::get_if<ClaimSettlement>(&message)) {
            claims.settle(*settlement);
        } else if (const auto *settled = std::get_if<ClaimSettled>(&message)) {
            orders.onSettled(*settled);
        }
    }

    void updateView(std::shared_ptr<const ControlView> newView)
    {
        view = std::move(newView);
        std::map<MemberId, Address> peers;
        for (const auto &[id, member] : view->members) {
            peers[id] = {member.host, settings.peerListen.port};
        }
        hub.updatePeers(peers);
        owner.updateView(view);
        coordinator.updateView(view);
        orders.updateView(view);
        claims.changeMembers(view->members.size());
    }

    /// Number of requests, orders, subrequests and claims that have not ended on this VM.
    std::size_t running() const
    {
        return coordinator.running() + orders.running() + owner.inFlight() + claims.waiting()
            + http.openRequests();
    }

    nlohmann::json dump() const
    {
        return {{"coordinator", coordinator.dump()}, {"orders", orders.dump()},
                {"waitingClaims", claims.waiting()}, {"backendServers", owner.dump()},
                {"peerBytesSent", hub.bytesSent()},  {"peerBytesReceived", hub.bytesReceived()},
                {"badPeerMessages", badMessages}};
    }
};

QueryTask::QueryTask(const QueryTaskSettings &settings, const Clock &clock)
    : m_state(std::make_unique<State>(settings, clock))
{ }

QueryTask::~QueryTask()
{
    stop();
}

bool QueryTask::listen(Reason &reason)
{
    return m_state->http.listen(m_state->settings.callerListen, reason)
        && m_state->hub.listen(m_state->settings.peerListen, reason);
}

void QueryTask::start()
{
    m_state->task.start();
}

void QueryTask::stop()
{
    m_state->task.stop();
}

void QueryTask::postView(std::shared_ptr<const ControlView> view)
{
    m_state->task.post(
        [state = m_state.get(), view = std::move(view)] { state->updateView(view); });
}

void QueryTask::postNotReady()
{
    m_state->task.post([state = m_state.get()] { state->isStopping = true; });
}

void QueryTask::postBusyReport(BusyReportHook hook)
{
    m_state->task.post([state = m_state.get(), hook = std::move(hook)] {
        hook(state->view == nullptr ? 0 : state->view->sequence, state->owner.busyBackendServers());
    });
}

void QueryTask::postRunningCount(std::function<void(std::size_t)> hook)
{
    m_state->task.post([state = m_state.get(), hook = std::move(hook)] { hook(state->running()); });
}

void QueryTask::postDump(DumpHook hook)
{
    m_state->task.post([state = m_state.get(), hook = std::move(hook)] { hook(state->dump()); });
}

} // namespace pimentoward
