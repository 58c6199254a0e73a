#include "tests/support/RateFleet.h"

#include <catch2/catch.hpp>

#include <cstdio>

using namespace pimentoward;
using namespace pimentoward::tests;
using namespace std::chrono_literals;

// One rate limit over many VMs, in calm and while VMs are killed, frozen and cut off.

namespace {

/// Time until the granters of a fleet that has just started grant, and their buckets are full.
constexpr Duration warmUp = 90s;

/// Requests as they arrive, and what a single bucket for the whole limit would let through.
struct Load
{
    /// The VM that the next request arrives at.
    std::function<std::size_t(RateFleet &)> place;
    double timesLimit = 1;
    Duration length = 30s;
};

struct Result
{
    double admitted = 0;
    double allowed = 0;
    double fixedShares = 0;
    double noSharing = 0;
};

Result play(RateFleet &fleet, const RateLimit &limit, const Load &load)
{
    fleet.queue().runUntil(fleet.queue().now() + warmUp);
    const SteadyTime begin = fleet.queue().now();
    const SteadyTime end = begin + load.length;
    const auto vms = static_cast<double>(fleet.size());
    const RateLimit share {limit.requestsPerSecond / vms, std::max(1.0, limit.burst / vms)};
    TokenBucket whole(limit, begin - 1h);
    std::vector<TokenBucket> shares(fleet.size(), TokenBucket(share, begin - 1h));
    std::vector<TokenBucket> unshared(fleet.size(), TokenBucket(limit, begin - 1h));
    std::exponential_distribution<> gap(load.timesLimit * limit.requestsPerSecond);
    const std::size_t before = fleet.admitted().size();
    Result result;
    for (SteadyTime at = begin; at < end; at += std::chrono::duration_cast<Duration>(
                                              std::chrono::duration<double>(gap(fleet.random())))) {
        fleet.queue().runUntil(at);
        const std::size_t vm = load.place(fleet);
        result.allowed += static_cast<double>(whole.take(1, at));
        result.fixedShares += static_cast<double>(shares[vm].take(1, at));
        result.noSharing += static_cast<double>(unshared[vm].take(1, at));
        fleet.request(vm);
    }
    fleet.queue().runUntil(end + 1s);
    result.admitted = static_cast<double>(fleet.admitted().size() - before);
    return result;
}

using Placement = std::function<std::size_t(RateFleet &)>;

Placement oneOf(std::size_t count)
{
    return [count](RateFleet &fleet) { return fleet.random()() % count; };
}

/// Requests that arrive at another VM each second.
Placement moving()
{
    return [](RateFleet &fleet) {
        const auto second = std::chrono::duration_cast<std::chrono::seconds>(
            fleet.queue().now().time_since_epoch());
        return static_cast<std::size_t>(second.count() * 7919) % fleet.size();
    };
}

void print(const char *what, std::size_t vms, double times, const Result &result)
{
    std::printf("rate limit, %s, %zu VMs, %.1f times: let through %.3f of what is allowed; fixed "
                "shares %.3f, no sharing %.3f\n",
                what, vms, times, result.admitted / result.allowed,
                result.fixedShares / result.allowed, result.noSharing / result.allowed);
}

const std::vector<RateLimit> limits {{20, 40}, {3, 5}, {60, 60}};

/// One random failure each `period`.
void disturb(RateFleet &fleet, Duration period, SteadyTime until)
{
    if (fleet.queue().now() >= until) {
        return;
    }
    std::mt19937 &random = fleet.random();
    const std::size_t vm = random() % fleet.size();
    const Duration time = scaled(1s, 0.2 + static_cast<double>(random() % 180) / 10);
    const std::size_t count = 1 + random() % (random() % 10 == 0 ? fleet.size() : 2);
    const auto kind = random() % 5;
    for (std::size_t index = 0; index < count; ++index) {
        const std::size_t hit = (vm + index) % fleet.size();
        if (kind == 0) {
            fleet.kill(hit, time);
        } else if (kind == 1) {
            fleet.freeze(hit, time);
        } else if (kind == 2) {
            fleet.cut(hit, 1, time);
        } else if (kind == 3) {
            fleet.cut(hit, 2 + static_cast<int>(index), time);
        } else {
            fleet.cutFromStore(hit, time);
        }
    }
    fleet.queue().after(period, [&fleet, period, until] { disturb(fleet, period, until); });
}

/// Plays one seed of heavy load with failures. Returns by how much the limit was exceeded, and adds
/// what was let through to `sum`.
double excessInTrouble(std::size_t vms, unsigned seed, const RateGranter::Settings &granter,
                       Result &sum)
{
    RateFleet::Settings settings;
    settings.vms = vms;
    settings.seed = seed;
    settings.limit = limits[seed % limits.size()];
    settings.lostRatio = 0.02;
    settings.lateRatio = 0.1;
    settings.granter = granter;
    RateFleet fleet(settings);
    disturb(fleet, scaled(1s, 0.5 + static_cast<double>(seed % 16)), fleet.queue().now() + 130s);
    Load load {seed % 2 == 0 ? oneOf(vms) : moving(), seed % 3 == 0 ? 1.0 : 4.0, 45s};
    const Result result = play(fleet, settings.limit, load);
    sum.admitted += result.admitted;
    sum.allowed += result.allowed;
    return fleet.worstExcess();
}

void checkTrouble(std::size_t vms, unsigned seeds)
{
    double worst = -1e9;
    Result sum;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        const double excess = excessInTrouble(vms, seed, {}, sum);
        worst = std::max(worst, excess);
        CAPTURE(vms, seed);
        CHECK(excess <= 0);
    }
    std::printf("rate limit in trouble, %zu VMs, %u seeds: %.0f from the bound at worst, let "
                "through %.3f of what is allowed\n",
                vms, seeds, worst, sum.admitted / sum.allowed);
}

} // namespace

TEST_CASE("A rate limit in calm lets through nearly all that is asked and allowed")
{
    const std::size_t vms = GENERATE(7, 63, 300);
    const double times = GENERATE(0.9, 1.0, 3.0, 8.0);
    const auto [what, place] = GENERATE(table<const char *, Placement>(
        {{"one VM", oneOf(1)}, {"three VMs", oneOf(3)}, {"moving each second", moving()}}));
    Result sum;
    for (unsigned seed = 1; seed <= 4; ++seed) {
        RateFleet::Settings settings;
        settings.vms = vms;
        settings.seed = seed;
        settings.limit = limits[seed % limits.size()];
        RateFleet fleet(settings);
        const Result result = play(fleet, settings.limit, {place, times, 30s});
        CHECK(fleet.worstExcess() <= 0);
        sum.admitted += result.admitted;
        sum.allowed += result.allowed;
        sum.fixedShares += result.fixedShares;
        sum.noSharing += result.noSharing;
    }
    print(what, vms, times, sum);
    CHECK(sum.admitted >= 0.97 * sum.allowed);
}

TEST_CASE("A rate limit with a third of the VMs cut off lets through most of what is allowed")
{
    const std::size_t vms = GENERATE(7, 63, 300);
    const double times = GENERATE(0.9, 3.0);
    Result sum;
    for (unsigned seed = 1; seed <= 12; ++seed) {
        RateFleet::Settings settings;
        settings.vms = vms;
        settings.seed = seed;
        settings.limit = limits[seed % limits.size()];
        RateFleet fleet(settings);
        const std::size_t cutOff = vms / 3;
        fleet.queue().after(warmUp + 5s, [&fleet, cutOff] {
            for (std::size_t vm = 0; vm < cutOff; ++vm) {
                fleet.cut(vm, 1, 1h);
            }
        });
        const Placement others = [cutOff](RateFleet &played) {
            return cutOff + played.random()() % std::min<std::size_t>(3, played.size() - cutOff);
        };
        const Result result = play(fleet, settings.limit, {others, times, 60s});
        CHECK(fleet.worstExcess() <= 0);
        sum.admitted += result.admitted;
        sum.allowed += result.allowed;
        sum.fixedShares += result.fixedShares;
        sum.noSharing += result.noSharing;
    }
    print("a third cut off", vms, times, sum);
    CHECK(sum.admitted >= 0.85 * sum.allowed);
}

TEST_CASE("QUOTA: a limit holds while VMs are killed, frozen and cut off", "[rules]")
{
    checkTrouble(7, 60);
    checkTrouble(63, 20);
    checkTrouble(300, 4);
}

// Load: the VMs are cut into two halves for longer than a lease, and each half serves callers.
TEST_CASE("QUOTA: two halves that both believe that they grant stay below a limit together")
{
    const auto worst = [](const RateGranter::Settings &granter) {
        double excess = -1e9;
        for (unsigned seed = 1; seed <= 20; ++seed) {
            RateFleet::Settings settings;
            settings.seed = seed;
            settings.granter = granter;
            RateFleet fleet(settings);
            fleet.queue().after(warmUp, [&fleet] {
                for (std::size_t vm = 0; vm < fleet.size() / 2; ++vm) {
                    fleet.cut(vm, 1, 25s);
                }
            });
            play(fleet, settings.limit, {oneOf(fleet.size()), 6, 50s});
            excess = std::max(excess, fleet.worstExcess());
        }
        return excess;
    };
    CHECK(worst({}) <= 0);
    RateGranter::Settings hasty;
    hasty.maxViewAge = 1h;
    hasty.takeoverTime = 0s;
    hasty.fullTime = 0s;
    CHECK(worst(hasty) > 0);
}

// Load: a burst of six times what the limit lets through at three VMs at once, and nothing else.
TEST_CASE("Callers over a limit who return when they were told to find room")
{
    const std::size_t vms = GENERATE(7, 63);
    RateFleet::Settings settings;
    settings.vms = vms;
    settings.limit = {20, 20};
    RateFleet fleet(settings);
    fleet.queue().runUntil(fleet.queue().now() + warmUp);
    for (unsigned request = 0; request < 120; ++request) {
        fleet.request(request % 3);
    }
    fleet.queue().runUntil(fleet.queue().now() + 100ms);
    const std::vector<Duration> returns = fleet.returns();
    REQUIRE(returns.size() > 90);
    for (const Duration time : returns) {
        CHECK(time > 0ms);
        CHECK(time <= 10s);
        fleet.queue().after(time, [&fleet] { fleet.request(fleet.random()() % 3); });
    }
    fleet.queue().runUntil(fleet.queue().now() + 12s);
    const std::size_t refusedAgain = fleet.returns().size() - returns.size();
    std::printf("callers over a limit, %zu VMs: %zu of %zu found room when they returned\n", vms,
                returns.size() - refusedAgain, returns.size());
    CHECK(static_cast<double>(refusedAgain) <= 0.2 * static_cast<double>(returns.size()));
    CHECK(fleet.worstExcess() <= 0);
}

TEST_CASE("A lower limit of later settings binds the granter at once")
{
    RateParts parts({});
    parts.changeVms({"vm-0"});
    RateGranter::Settings settings;
    settings.self = "vm-0";
    RateGranter granter(settings);
    const SteadyTime begin {1h};
    const auto apply = [&](double rate, double burst, SteadyTime now) {
        parts.changeWorkspaces({{"w", {rate, burst}, {}}});
        granter.update(parts, now);
        granter.onViewConfirmed(now, now);
    };
    apply(30, 60, begin);
    for (SteadyTime now = begin; now < begin + 100s; now += 1s) {
        granter.onViewConfirmed(now, now);
    }
    const SteadyTime later = begin + 100s;
    CHECK(granter.onAsked({"w/0/3", 1}, later).granted == 1);
    apply(30, 6, later);
    CHECK(granter.onAsked({"w/0/3", 100}, later).granted == 2);
    apply(0, 0, later);
    CHECK_FALSE(granter.onAsked({"w/0/3", 1}, later).isGranting);
    CHECK_FALSE(granter.onAsked({"unknown", 1}, later).isGranting);
}

TEST_CASE("QUOTA: a limit holds with a thousand seeds", "[.search]")
{
    checkTrouble(7, 1000);
    checkTrouble(63, 1000);
    checkTrouble(300, 1000);
}
