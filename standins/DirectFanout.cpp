#include "standins/DirectFanout.h"

#include "Pimentoward/Core/SystemClock.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <deque>

namespace pimentoward::standins {

namespace {

constexpr int statusOk = 200;
/// Time after the deadline in which a backend server may still report that it stopped the request.
constexpr std::chrono::milliseconds grace {200};

timeval toTimeval(std::chrono::milliseconds time)
{
    constexpr long perSecond = 1000;
    timeval result {};
    result.tv_sec = time.count() / perSecond;
    result.tv_usec = time.count() % perSecond * perSecond;
    return result;
}

} // namespace

/// One query from its send to the end of its last subrequest.
struct DirectFanout::Query
{
    PlannedRequest request;
    LoadRunner::DoneHook done;
    RequestId id;
    IndexVersion version = 0;
    SteadyTime deadline;
    /// Subrequests that have not ended yet.
    std::size_t unanswered = 0;
    std::size_t nextSubrequest = 0;
    /// Share of the queried key space, from 0 to 1, that succeeded subrequests cover.
    double answeredShare = 0;
    bool failed = false;
};

/// Connections and queue of one VM for one backend server.
struct DirectFanout::Backend
{
    /// A queued or running subrequest.
    struct Subrequest
    {
        std::shared_ptr<Query> query;
        const Shard *shard = nullptr;
        /// Share of the queried key space that the shard covers, from 0 to 1.
        double keySpaceShare = 0;
        std::string id;
    };
    struct Connection
    {
        Backend *backend = nullptr;
        evhttp_connection *http = nullptr;
        std::optional<Subrequest> running;
    };

    DirectFanout::State *state = nullptr;
    BackendServer description;
    std::vector<std::unique_ptr<Connection>> connections;
    std::deque<Subrequest> queue;
    std::size_t inFlight = 0;

    /// Number of queued and running subrequests.
    std::size_t load() const { return queue.size() + inFlight; }
    /// Dispatches queued subrequests while the limit allows it.
    void dispatchQueued();
    void dispatch(Subrequest subrequest);
    /// Returns a connection without a running request; opens one if there is none.
    Connection &freeConnection();
    static void onDone(evhttp_request *request, void *self);
};

struct DirectFanout::State
{
    event_base *loop = nullptr;
    SystemClock clock;
    Settings settings;
    std::vector<ServiceCatalog> services;
    /// For each VM, its state for every backend server.
    std::vector<std::map<BackendServerId, Backend>> vms;
    std::uint64_t nextQuery = 0;
    std::uint64_t subrequests = 0;

    std::size_t limitOf(const BackendServer &server) const
    {
        return static_cast<std::size_t>(settings.limitPerVm > 0 ? settings.limitPerVm
                                                                : server.slots);
    }

    /// Ends a subrequest. The last subrequest of a query also ends the query.
    void end(const Backend::Subrequest &subrequest, bool succeeded)
    {
        Query &query = *subrequest.query;
        query.answeredShare += succeeded ? subrequest.keySpaceShare : 0;
        query.failed = query.failed || !succeeded;
        if (--query.unanswered > 0) {
            return;
        }
        LoadOutcome outcome;
        outcome.requestId = query.id;
        outcome.version = query.version;
        outcome.coverage = query.failed ? std::min(query.answeredShare, 1.0) : 1.0;
        outcome.code = query.failed ? ResultCode::PartialCoverage : ResultCode::Ok;
        query.done(outcome);
    }
};

DirectFanout::Backend::Connection &DirectFanout::Backend::freeConnection()
{
    const auto free = std::find_if(connections.begin(), connections.end(),
                                   [](const auto &c) { return !c->running.has_value(); });
    if (free != connections.end()) {
        return **free;
    }
    connections.push_back(std::make_unique<Connection>());
    Connection &connection = *connections.back();
    connection.backend = this;
    connection.http = evhttp_connection_base_new(
        state->loop, nullptr, description.address.host.c_str(), description.address.port);
    return connection;
}

void DirectFanout::Backend::dispatchQueued()
{
    while (!queue.empty() && inFlight < state->limitOf(description)) {
        Subrequest next = std::move(queue.front());
        queue.pop_front();
        if (state->clock.now() >= next.query->deadline) {
            state->end(next, false);
            continue;
        }
        dispatch(std::move(next));
    }
}

void DirectFanout::Backend::dispatch(Subrequest subrequest)
{
    const auto timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(
        subrequest.query->deadline - state->clock.now());
    Connection &connection = freeConnection();
    evhttp_request *request = evhttp_request_new(&Backend::onDone, &connection);
    evkeyvalq *headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", description.address.host.c_str());
    evhttp_add_header(headers, "X-Request-Id", subrequest.id.c_str());
    evhttp_add_header(headers, "X-Shard", subrequest.shard->name.c_str());
    evhttp_add_header(headers, "X-Version", std::to_string(subrequest.query->version).c_str());
    evhttp_add_header(headers, "X-Deadline-Ms", std::to_string(timeLeft.count()).c_str());
    const std::string &body = subrequest.query->request.backendBody;
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
    const timeval timeout = toTimeval(timeLeft + grace);
    evhttp_connection_set_timeout_tv(connection.http, &timeout);
    connection.running = std::move(subrequest);
    ++inFlight;
    ++state->subrequests;
    if (evhttp_make_request(connection.http, request, EVHTTP_REQ_POST, "/run") != 0) {
        const Subrequest failed = std::move(*connection.running);
        connection.running.reset();
        --inFlight;
        state->end(failed, false);
    }
}

void DirectFanout::Backend::onDone(evhttp_request *request, void *self)
{
    auto *connection = static_cast<Connection *>(self);
    Backend &backend = *connection->backend;
    if (!connection->running) {
        return;
    }
    const Subrequest ended = std::move(*connection->running);
    connection->running.reset();
    --backend.inFlight;
    const bool succeeded
        = request != nullptr && evhttp_request_get_response_code(request) == statusOk;
    backend.state->end(ended, succeeded);
    backend.dispatchQueued();
}

DirectFanout::DirectFanout(event_base *loop, const std::vector<ServiceCatalog> &services,
                           const Settings &settings)
    : m_state(std::make_unique<State>())
{
    m_state->loop = loop;
    m_state->settings = settings;
    m_state->services = services;
    m_state->vms.resize(settings.vms);
    for (auto &vm : m_state->vms) {
        for (const ServiceCatalog &service : services) {
            for (const auto &[id, server] : service.backendServers) {
                vm[id].state = m_state.get();
                vm[id].description = server;
            }
        }
    }
}

DirectFanout::~DirectFanout()
{
    for (auto &vm : m_state->vms) {
        for (auto &[id, backend] : vm) {
            for (auto &connection : backend.connections) {
                connection->running.reset();
                evhttp_connection_free(connection->http);
            }
        }
    }
}

void DirectFanout::send(const PlannedRequest &request, LoadRunner::DoneHook done)
{
    const auto service
        = std::find_if(m_state->services.begin(), m_state->services.end(),
                       [&request](const auto &entry) { return entry.name == request.service; });
    if (service == m_state->services.end()) {
        LoadOutcome outcome;
        outcome.code = ResultCode::UnknownService;
        done(outcome);
        return;
    }
    const IndexVersionEntry &version = service->versions.back();
    const auto query = std::make_shared<Query>();
    query->request = request;
    query->done = std::move(done);
    query->version = version.version;
    query->deadline = m_state->clock.now() + request.deadline;
    query->id = m_state->settings.requestPrefix + "-" + std::to_string(++m_state->nextQuery);
    std::vector<const Shard *> shards;
    std::uint64_t keySpace = 0;
    for (const Shard &shard : version.shards->shards()) {
        if (request.isSearch || shard.range.contains(KeyRange::positionOf(request.lookupKey))) {
            shards.push_back(&shard);
            keySpace += shard.range.size();
        }
    }
    query->unanswered = shards.size();
    auto &vm = m_state->vms[m_state->nextQuery % m_state->vms.size()];
    for (const Shard *shard : shards) {
        Backend *chosen = nullptr;
        for (const BackendServerId &replica : shard->replicas) {
            Backend &candidate = vm.at(replica);
            chosen = chosen == nullptr || candidate.load() < chosen->load() ? &candidate : chosen;
        }
        const double share
            = static_cast<double>(shard->range.size()) / static_cast<double>(keySpace);
        const std::string id = query->id + "/" + std::to_string(query->nextSubrequest++);
        chosen->queue.push_back({query, shard, share, id});
        chosen->dispatchQueued();
    }
}

std::uint64_t DirectFanout::subrequests() const
{
    return m_state->subrequests;
}

} // namespace pimentoward::standins
