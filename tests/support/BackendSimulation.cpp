#include "tests/support/BackendSimulation.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace pimentoward::tests {

namespace {

constexpr std::chrono::milliseconds minDeadline {15};
constexpr std::chrono::milliseconds deadlineSpread {60};
constexpr std::uint32_t requestClasses = 3;

} // namespace

BackendSimulation::BackendSimulation(const Settings &settings, std::uint32_t seed)
    : m_settings(settings)
    , m_random(seed)
    , m_model(settings.model)
    , m_dispatcher(settings.dispatcher)
{ }

double BackendSimulation::randomShare()
{
    constexpr double range = 4294967296.0;
    return static_cast<double>(m_random()) / range;
}

Duration BackendSimulation::randomDelay()
{
    const Duration spread = m_settings.maxDelay - m_settings.minDelay;
    return m_settings.minDelay
        + std::chrono::nanoseconds(
               static_cast<std::int64_t>(randomShare() * static_cast<double>(spread.count())));
}

void BackendSimulation::after(Duration delay, std::function<void()> hook)
{
    m_events.emplace(m_clock.now() + delay, std::move(hook));
}

void BackendSimulation::addArrivals(int count, Duration meanInterval)
{
    Duration at {};
    for (int index = 0; index < count; ++index) {
        at += Duration(static_cast<std::int64_t>(-std::log(1 - randomShare())
                                                 * static_cast<double>(meanInterval.count())));
        const auto requestClass = static_cast<RequestClass>(m_random() % requestClasses);
        const auto timeLeft = minDeadline
            + Duration(static_cast<std::int64_t>(
                randomShare() * static_cast<double>(Duration(deadlineSpread).count())));
        const bool isCancelled = randomShare() < m_settings.cancels;
        const Duration cancelAfter = Duration(
            static_cast<std::int64_t>(randomShare() * static_cast<double>(timeLeft.count()) / 4));
        after(at, [=] {
            const DispatchToken token = ++m_lastToken;
            m_subrequests[token].deadline = now() + timeLeft;
            apply(m_dispatcher.enqueue(token, requestClass, now() + timeLeft, now()));
            if (isCancelled) {
                after(cancelAfter, [=] { apply(m_dispatcher.cancel(token, now())); });
            }
        });
    }
}

void BackendSimulation::restart()
{
    m_model.restart(now());
    // The resets of all connections, busy or idle, reach the dispatcher at the same time.
    // Subrequests that it sends before then use broken connections and never arrive.
    after(randomDelay(), [this] {
        m_connectedIncarnation = m_model.incarnation();
        m_dispatcher.assumeCold();
        std::vector<DispatchToken> broken;
        for (const auto &[token, isInFlight] : m_inFlight) {
            broken.push_back(token);
        }
        for (const DispatchToken token : broken) {
            onOutcome(token, ResultCode::MayHaveRun, false, 0);
        }
    });
}

void BackendSimulation::runToEnd()
{
    while (true) {
        const auto timer = m_dispatcher.nextTimer();
        if (m_events.empty() && !timer) {
            return;
        }
        if (m_events.empty() || (timer && *timer < m_events.begin()->first)) {
            m_clock.advance(std::max(*timer - now(), Duration::zero()));
            apply(m_dispatcher.onTimer(now()));
            continue;
        }
        const auto event = m_events.begin();
        const auto hook = std::move(event->second);
        m_clock.advance(event->first - now());
        m_events.erase(event);
        hook();
    }
}

void BackendSimulation::apply(const BackendDispatcher::Actions &actions)
{
    for (const BackendDispatcher::Action &action : actions) {
        if (const auto *dispatchAction = std::get_if<BackendDispatcher::Dispatch>(&action)) {
            dispatch(dispatchAction->token);
        } else if (const auto *refuseAction = std::get_if<BackendDispatcher::Refuse>(&action)) {
            recordOutcome(refuseAction->token, refuseAction->reason.code);
        } else if (const auto *cancelAction
                   = std::get_if<BackendDispatcher::CancelRunning>(&action)) {
            cancelRunning(cancelAction->token);
        }
    }
}

void BackendSimulation::dispatch(DispatchToken token)
{
    Subrequest &subrequest = m_subrequests[token];
    subrequest.dispatched = now();
    m_inFlight[token] = true;
    const Duration allowedTime = subrequest.deadline - now();
    // A subrequest does not arrive if the backend server restarts in the meantime, because the
    // restart breaks the connection.
    after(randomDelay(), [this, token, allowedTime, connectedIncarnation = m_connectedIncarnation] {
        if (m_model.incarnation() == connectedIncarnation) {
            startWork(token, allowedTime);
        }
    });
    if (randomShare() < m_settings.brokenConnections) {
        after(randomDelay(), [=] { onOutcome(token, ResultCode::MayHaveRun, false, 0); });
    }
    after(allowedTime + m_settings.dispatcher.grace,
          [=] { onOutcome(token, ResultCode::DeadlineExceeded, false, 0); });
}

void BackendSimulation::startWork(DispatchToken token, Duration allowedTime)
{
    const Incarnation incarnation = m_model.incarnation();
    const auto neededTime = m_model.begin(std::to_string(token), "s", 1, now());
    if (!neededTime) {
        after(randomDelay(),
              [=] { onOutcome(token, ResultCode::NotRunRefusedByBackend, true, incarnation); });
        return;
    }
    after(std::min(*neededTime, allowedTime),
          [=] { endWork(token, incarnation, *neededTime <= allowedTime); });
}

void BackendSimulation::endWork(DispatchToken token, Incarnation incarnation, bool isComplete)
{
    const std::string requestId = std::to_string(token);
    if (m_model.incarnation() != incarnation || !m_model.isRunning(requestId)) {
        return;
    }
    m_model.end(requestId, isComplete, now());
    if (randomShare() >= m_settings.lostReplies) {
        const ResultCode code = isComplete ? ResultCode::Ok : ResultCode::DeadlineExceeded;
        after(randomDelay(), [=] { onOutcome(token, code, true, incarnation); });
    }
}

void BackendSimulation::onOutcome(DispatchToken token, ResultCode code, bool isEndProved,
                                  Incarnation incarnation)
{
    if (m_inFlight.erase(token) == 0) {
        return;
    }
    recordOutcome(token, code);
    const Duration serviceTime = now() - m_subrequests[token].dispatched;
    apply(m_dispatcher.onOutcome(token, {code, serviceTime, isEndProved, incarnation}, now()));
}

void BackendSimulation::recordOutcome(DispatchToken token, ResultCode code)
{
    Subrequest &subrequest = m_subrequests[token];
    ++subrequest.outcomes;
    subrequest.code = code;
    m_succeeded += code == ResultCode::Ok ? 1 : 0;
}

void BackendSimulation::cancelRunning(DispatchToken token)
{
    if (randomShare() < m_settings.ignoredCancels) {
        return;
    }
    after(randomDelay(), [=] {
        // A cancel can arrive before its subrequest. It then proves nothing about whether the
        // subrequest will run, so it is not acknowledged.
        if (!m_model.hasSeen(std::to_string(token))) {
            return;
        }
        endWork(token, m_model.incarnation(), false);
        after(randomDelay(), [=] { apply(m_dispatcher.onCancelAcknowledged(token, now())); });
    });
}

int BackendSimulation::wrongOutcomeCounts() const
{
    return static_cast<int>(
        std::count_if(m_subrequests.begin(), m_subrequests.end(),
                      [](const auto &entry) { return entry.second.outcomes != 1; }));
}

int BackendSimulation::falseNotRun() const
{
    return static_cast<int>(
        std::count_if(m_subrequests.begin(), m_subrequests.end(), [this](const auto &entry) {
            return promisesNotRun(entry.second.code)
                && m_model.hasSeen(std::to_string(entry.first));
        }));
}

} // namespace pimentoward::tests
