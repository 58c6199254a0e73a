#include "standins/ShardServer.h"

#include "standins/ShardServerPeer.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdlib>

namespace pimentoward::standins {

namespace {

constexpr int statusBadRequest = 400;
constexpr int statusMisdirected = 421;
constexpr int statusUnavailable = 503;
constexpr const char *healthPath = "/health";

} // namespace

ShardServer::ShardServer(event_base *loop, const Settings &settings)
    : m_loop(loop)
    , m_settings(settings)
    , m_endlessTimer(loop, [this] { writeEndlessReplies(); })
{ }

ShardServer::~ShardServer()
{
    crash();
}

bool ShardServer::listen(Reason &reason)
{
    sockaddr_in local {};
    local.sin_family = AF_INET;
    local.sin_port = htons(m_settings.address.port);
    inet_pton(AF_INET, m_settings.address.host.c_str(), &local.sin_addr);
    const auto onAccept = [](evconnlistener *, evutil_socket_t socket, sockaddr *, int,
                             void *self) { static_cast<ShardServer *>(self)->accept(socket); };
    m_listener
        = evconnlistener_new_bind(m_loop, onAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                  -1, reinterpret_cast<const sockaddr *>(&local), sizeof(local));
    if (m_listener == nullptr) {
        reason = {ResultCode::InvalidSetting, "cannot listen on " + m_settings.address.toString()};
        return false;
    }
    socklen_t size = sizeof(local);
    getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr *>(&local), &size);
    m_settings.address.port = ntohs(local.sin_port);
    return true;
}

void ShardServer::crash()
{
    if (m_listener != nullptr) {
        evconnlistener_free(m_listener);
        m_listener = nullptr;
    }
    m_jobs.clear();
    m_queued.clear();
    m_peers.clear();
    m_runningJobs = 0;
}

void ShardServer::accept(int socket)
{
    if (m_peers.size() >= m_settings.maxConnections) {
        const linger lingerReset {1, 0};
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &lingerReset, sizeof(lingerReset));
        evutil_closesocket(socket);
        return;
    }
    auto peer = std::make_unique<Peer>();
    peer->server = this;
    peer->stream = bufferevent_socket_new(m_loop, socket, BEV_OPT_CLOSE_ON_FREE);
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    bufferevent_setcb(peer->stream, &Peer::onRead, nullptr, &Peer::onEvent, peer.get());
    bufferevent_enable(peer->stream, EV_READ | EV_WRITE);
    m_peers.push_back(std::move(peer));
    m_peakConnections = std::max(m_peakConnections, m_peers.size());
}

void ShardServer::onRequest(Peer &peer, HttpRequestMessage request)
{
    if (request.target == healthPath) {
        ++m_healthChecks;
        peer.write(serialize(makeHealthReply(), request.method));
        return;
    }
    ++m_arrivals;
    const std::string_view expected = request.headers.value(m_settings.headers.expectedBackend);
    if (!expected.empty() && expected != m_settings.id) {
        refuse(peer, statusMisdirected);
        return;
    }
    if (!request.headers.has(m_settings.headers.requestId)) {
        refuse(peer, statusBadRequest);
        return;
    }
    if (!m_retryAfter.empty() || m_fault(request) == Fault::Shed
        || m_queued.size() >= m_settings.queue) {
        refuse(peer, statusUnavailable);
        return;
    }
    peer.isBusy = true;
    if (m_runningJobs >= m_settings.slots) {
        m_queued.emplace_back(&peer, std::move(request));
        return;
    }
    begin(peer, std::move(request));
}

void ShardServer::becomeCold(std::chrono::milliseconds time)
{
    m_coldUntil = std::chrono::steady_clock::now() + time;
}

void ShardServer::begin(Peer &peer, HttpRequestMessage request)
{
    ++m_runningJobs;
    const SteadyTime now = std::chrono::steady_clock::now();
    Run run;
    run.requestId = request.headers.value(m_settings.headers.requestId);
    run.method = request.method;
    run.target = request.target;
    run.body = request.body;
    run.headers = request.headers;
    run.timeLeft = std::chrono::milliseconds(
        std::atoll(std::string(request.headers.value(m_settings.headers.timeLeft)).c_str()));
    run.started = now;
    m_runs.push_back(run);
    m_jobs.emplace_back();
    Job &job = m_jobs.back();
    job.peer = &peer;
    job.fault = m_fault(request);
    job.request = std::move(request);
    job.run = m_runs.size() - 1;
    job.timer = std::make_unique<Timer>(m_loop, [this, &job] { finish(job); });
    const Duration pause = std::max(m_pausedUntil - now, Duration::zero());
    job.timer->startOnce(m_settings.serviceTime + pause);
}

void ShardServer::pause(std::chrono::milliseconds time)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    m_pausedUntil = now + time;
    for (Job &job : m_jobs) {
        job.timer->startOnce(time + m_settings.serviceTime);
    }
}

void ShardServer::finish(Job &job)
{
    m_runs[job.run].ended = std::chrono::steady_clock::now();
    --m_runningJobs;
    Peer *peer = job.peer;
    const HttpRequestMessage request = std::move(job.request);
    const Fault fault = job.fault;
    m_jobs.remove_if([&](const Job &entry) { return &entry == &job; });
    peer->isBusy = false;
    beginNextQueued();
    reply(*peer, request, fault);
}

void ShardServer::beginNextQueued()
{
    if (m_queued.empty() || m_runningJobs >= m_settings.slots) {
        return;
    }
    auto [peer, request] = std::move(m_queued.front());
    m_queued.pop_front();
    begin(*peer, std::move(request));
}

void ShardServer::onDisconnect(Peer &peer)
{
    // The jobs of the disconnected peer end now, which frees their slots.
    const auto belongsToPeer = [&](const Job &job) { return job.peer == &peer; };
    for (const Job &job : m_jobs) {
        if (belongsToPeer(job)) {
            m_runs[job.run].ended = std::chrono::steady_clock::now();
            --m_runningJobs;
        }
    }
    m_jobs.remove_if(belongsToPeer);
    remove(peer);
    beginNextQueued();
}

void ShardServer::remove(Peer &peer)
{
    m_queued.erase(std::remove_if(m_queued.begin(), m_queued.end(),
                                  [&](const auto &entry) { return entry.first == &peer; }),
                   m_queued.end());
    m_peers.remove_if([&](const auto &entry) { return entry.get() == &peer; });
}

} // namespace pimentoward::standins
