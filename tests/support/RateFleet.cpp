#include "tests/support/RateFleet.h"

#include <algorithm>
#include <utility>

using namespace std::chrono_literals;

namespace pimentoward::tests {

namespace {

constexpr Duration askTimeout = 30ms;
constexpr Duration leaseTime = 6s;
/// How old the store's content is, at most, when a VM hears of it.
constexpr Duration maxFeedAge = 2s;

std::size_t numberOf(const MemberId &member)
{
    return std::stoul(member.substr(3));
}

MemberId nameOf(std::size_t vm)
{
    return "vm-" + std::to_string(vm);
}

} // namespace

RateFleet::RateFleet(const Settings &settings)
    : m_settings(settings)
    , m_workspace("w-" + std::to_string(settings.seed))
    , m_random(settings.seed)
    , m_vms(settings.vms)
{
    for (std::size_t vm = 0; vm < settings.vms; ++vm) {
        m_vms[vm].seenAt = m_queue.now();
    }
    runStore();
    for (std::size_t vm = 0; vm < settings.vms; ++vm) {
        start(vm);
    }
}

Duration RateFleet::upTo(Duration time)
{
    return scaled(time, std::uniform_real_distribution<>(0, 1)(m_random));
}

void RateFleet::runStore()
{
    std::vector<MemberId> members;
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
        if (m_queue.now() - m_vms[vm].seenAt <= leaseTime) {
            members.push_back(nameOf(vm));
        }
    }
    const bool isSame = !m_listings.empty() && *m_listings.back().members == members;
    m_listings.push_back({m_queue.now(),
                          isSame
                              ? m_listings.back().members
                              : std::make_shared<const std::vector<MemberId>>(std::move(members))});
    if (m_listings.size() > 100) {
        m_listings.pop_front();
    }
    m_queue.after(100ms, [this] { runStore(); });
}

void RateFleet::start(std::size_t vm)
{
    Place &place = m_vms[vm];
    RateGranter::Settings granter = m_settings.granter;
    granter.self = nameOf(vm);
    place.vm = std::make_unique<Vm>(m_settings.tolerance, granter);
    ++place.run;
    place.vm->parts.changeWorkspaces({{m_workspace, m_settings.limit, {}}});
    follow(vm);
}

void RateFleet::follow(std::size_t vm)
{
    at(vm, upTo(1500ms), [this, vm](Vm &self) {
        Place &place = m_vms[vm];
        if (place.reachesStore && place.group == 0) {
            place.seenAt = m_queue.now();
        }
        // A VM that the store turns away follows another VM.
        const SteadyTime heard = m_queue.now() - upTo(maxFeedAge);
        const auto after = std::find_if(m_listings.begin(), m_listings.end(),
                                        [&](const Listing &entry) { return entry.at > heard; });
        if (place.group == 0 && after != m_listings.begin()) {
            const Listing &listing = *std::prev(after);
            if (listing.at > self.viewAt) {
                self.viewAt = listing.at;
                if (self.view != listing.members) {
                    self.view = listing.members;
                    self.parts.changeVms(*listing.members);
                    self.granter.update(self.parts, m_queue.now());
                    self.asker.onPartsChanged();
                }
                self.granter.onViewConfirmed(listing.at, m_queue.now());
            }
        }
        follow(vm);
    });
}

void RateFleet::at(std::size_t vm, Duration delay, std::function<void(Vm &)> event)
{
    m_queue.after(delay, [this, vm, run = m_vms[vm].run, event = std::move(event)] {
        Place &place = m_vms[vm];
        if (place.vm == nullptr || place.run != run) {
            return;
        }
        if (place.frozenUntil > m_queue.now()) {
            at(vm, place.frozenUntil - m_queue.now(), event);
            return;
        }
        event(*place.vm);
    });
}

void RateFleet::send(std::size_t from, std::size_t to, std::function<void(Vm &)> event)
{
    const bool isLost = m_vms[from].group != m_vms[to].group || chance(m_settings.lostRatio);
    const Duration delay = 200us + upTo(chance(m_settings.lateRatio) ? m_settings.lateTime : 4ms);
    if (!isLost && m_vms[to].vm != nullptr) {
        at(to, delay, std::move(event));
    }
}

void RateFleet::kill(std::size_t vm, Duration time)
{
    if (m_vms[vm].vm != nullptr) {
        m_vms[vm].vm.reset();
        m_queue.after(time, [this, vm] { start(vm); });
    }
}

void RateFleet::freeze(std::size_t vm, Duration time)
{
    m_vms[vm].frozenUntil = std::max(m_vms[vm].frozenUntil, m_queue.now() + time);
}

void RateFleet::cut(std::size_t vm, int group, Duration time)
{
    m_vms[vm].group = group;
    m_queue.after(time, [this, vm] { m_vms[vm].group = 0; });
}

void RateFleet::cutFromStore(std::size_t vm, Duration time)
{
    m_vms[vm].reachesStore = false;
    m_queue.after(time, [this, vm] { m_vms[vm].reachesStore = true; });
}

void RateFleet::request(std::size_t vm)
{
    if (m_vms[vm].vm != nullptr) {
        at(vm, 0ms, [this, vm](Vm &self) {
            carryOut(vm, self.asker.onRequest(m_workspace, 0, m_queue.now()));
        });
    }
}

void RateFleet::carryOut(std::size_t vm, const RateAsker::Actions &actions)
{
    for (const RateAsker::Action &action : actions) {
        if (const auto *wanted = std::get_if<RateAsker::Ask>(&action)) {
            ask(vm, *wanted);
        } else if (const auto &decision = std::get<RateAsker::Decide>(action);
                   decision.isAdmitted) {
            m_admitted.push_back(m_queue.now());
        } else {
            m_returns.push_back(decision.retryAfter);
        }
    }
}

void RateFleet::ask(std::size_t vm, const RateAsker::Ask &wanted)
{
    const std::size_t granter = numberOf(wanted.granter);
    const auto isDone = std::make_shared<bool>(false);
    const unsigned run = m_vms[vm].run;
    const auto finish = [this, vm, run, isDone](const std::optional<RateAnswer> &answer) {
        return [this, vm, run, isDone, answer](Vm &self) {
            if (m_vms[vm].run == run && !std::exchange(*isDone, true)) {
                carryOut(vm, self.asker.onAnswer(m_workspace, answer, m_queue.now()));
            }
        };
    };
    ++m_asks;
    at(vm, askTimeout, finish(std::nullopt));
    send(vm, granter, [this, vm, granter, wanted, finish](Vm &other) {
        const RateAnswer answer = other.granter.onAsked(wanted.question, m_queue.now());
        send(granter, vm, finish(answer));
    });
}

double RateFleet::worstExcess() const
{
    const double allowed = m_settings.limit.requestsPerSecond
            * std::chrono::duration<double>(m_settings.tolerance.window).count()
        + m_settings.limit.burst + m_settings.tolerance.excess(m_settings.limit);
    std::size_t worst = 0;
    auto first = m_admitted.begin();
    for (auto last = m_admitted.begin(); last != m_admitted.end(); ++last) {
        while (*last - *first > m_settings.tolerance.window) {
            ++first;
        }
        worst = std::max(worst, static_cast<std::size_t>(last - first) + 1);
    }
    return static_cast<double>(worst) - allowed;
}

} // namespace pimentoward::tests
