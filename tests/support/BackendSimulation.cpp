#include "tests/support/BackendSimulation.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace pimentoward::tests {

namespace {

constexpr std::chrono::milliseconds shortestDeadline {15};
constexpr std::chrono::milliseconds deadlineSpread {60};
constexpr std::uint32_t classes = 3;

} // namespace

BackendSimulation::BackendSimulation(const Settings &settings, std::uint32_t seed)
    : m_settings(settings)
    , m_random(seed)
    , m_model(settings.model)
    , m_dispatcher(settings.dispatcher)
{ }

double BackendSimulation::uniform()
{
    constexpr double range = 4294967296.0;
    return static_cast<double>(m_random()) / range;
}

Duration BackendSimulation::delay()
{
    const Duration spread = m_settings.maxDelay - m_settings.minDelay;
    return m_settings.minDelay
        + std::chrono::nanoseconds(
               static_cast<std::int64_t>(uniform() * static_cast<double>(spread.count())));
}

void BackendSimulation::after(Duration delay, std::function<void()> hook)
{
    m_events.emplace(m_clock.now() + delay, std::move(hook));
}

void BackendSimulation::addArrivals(int count, Duration spacing)
{
    Duration at {};
    for (int index = 0; index < count; ++index) {
        at += Duration(static_cast<std::int64_t>(-std::log(1 - uniform())
                                                 * static_cast<double>(spacing.count())));
        const auto requestClass = static_cast<RequestClass>(m_random() % classes);
        const auto timeLeft = shortestDeadline
            + Duration(static_cast<std::int64_t>(
                uniform() * static_cast<double>(Duration(deadlineSpread).count())));
        const bool isCancelled = uniform() < m_settings.cancels;
        const Duration cancelAfter = Duration(
            static_cast<std::int64_t>(uniform() * static_cast<double>(timeLeft.count()) / 4));
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
    // The resets of busy and idle connections reach the owner together; what is sent before goes
    // to connections that no longer stand.
    after(delay(), [this] {
        m_connectedTo = m_model.incarnation();
        m_dispatcher.assumeCold();
        std::vector<DispatchToken> broken;
        for (const auto &[token, isOpen] : m_open) {
            broken.push_back(token);
        }
        for (const DispatchToken token : broken) {
            outcome(token, ResultCode::MayHaveRun, false, 0);
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
        if (const auto *started = std::get_if<BackendDispatcher::Dispatch>(&action)) {
            dispatch(started->token);
        } else if (const auto *refused = std::get_if<BackendDispatcher::Refuse>(&action)) {
            finish(refused->token, refused->reason.code);
        } else if (const auto *stop = std::get_if<BackendDispatcher::CancelRunning>(&action)) {
            cancelRunning(stop->token);
        }
    }
}

void BackendSimulation::dispatch(DispatchToken token)
{
    Subrequest &subrequest = m_subrequests[token];
    subrequest.dispatched = now();
    m_open[token] = true;
    const Duration allowed = subrequest.deadline - now();
    // A restart breaks the connection: what is sent on it never arrives.
    after(delay(), [this, token, allowed, connectedTo = m_connectedTo] {
        if (m_model.incarnation() == connectedTo) {
            begin(token, allowed);
        }
    });
    if (uniform() < m_settings.brokenConnections) {
        after(delay(), [=] { outcome(token, ResultCode::MayHaveRun, false, 0); });
    }
    after(allowed + m_settings.dispatcher.grace,
          [=] { outcome(token, ResultCode::DeadlineExceeded, false, 0); });
}

void BackendSimulation::begin(DispatchToken token, Duration allowed)
{
    const Incarnation incarnation = m_model.incarnation();
    const auto needed = m_model.begin(std::to_string(token), "s", 1, now());
    if (!needed) {
        after(delay(),
              [=] { outcome(token, ResultCode::NotRunRefusedByBackend, true, incarnation); });
        return;
    }
    after(std::min(*needed, allowed), [=] { end(token, incarnation, *needed <= allowed); });
}

void BackendSimulation::end(DispatchToken token, Incarnation incarnation, bool whole)
{
    const std::string requestId = std::to_string(token);
    if (m_model.incarnation() != incarnation || !m_model.isRunning(requestId)) {
        return;
    }
    m_model.end(requestId, whole, now());
    if (uniform() >= m_settings.lostReplies) {
        const ResultCode code = whole ? ResultCode::Ok : ResultCode::DeadlineExceeded;
        after(delay(), [=] { outcome(token, code, true, incarnation); });
    }
}

void BackendSimulation::outcome(DispatchToken token, ResultCode code, bool isProved,
                                Incarnation incarnation)
{
    if (m_open.erase(token) == 0) {
        return;
    }
    finish(token, code);
    const Duration serviceTime = now() - m_subrequests[token].dispatched;
    apply(m_dispatcher.onOutcome(token, {code, serviceTime, isProved, incarnation}, now()));
}

void BackendSimulation::finish(DispatchToken token, ResultCode code)
{
    Subrequest &subrequest = m_subrequests[token];
    ++subrequest.outcomes;
    subrequest.code = code;
    m_succeeded += code == ResultCode::Ok ? 1 : 0;
}

void BackendSimulation::cancelRunning(DispatchToken token)
{
    if (uniform() < m_settings.ignoredCancels) {
        return;
    }
    after(delay(), [=] {
        // A cancel may overtake its request; one that finds nothing proves nothing.
        if (!m_model.hasSeen(std::to_string(token))) {
            return;
        }
        end(token, m_model.incarnation(), false);
        after(delay(), [=] { apply(m_dispatcher.onCancelAcknowledged(token, now())); });
    });
}

int BackendSimulation::withWrongOutcomeCount() const
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
