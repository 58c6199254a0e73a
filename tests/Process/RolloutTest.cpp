#include "platform/WireNames.h"
#include "tests/support/TierProcessFixture.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace pimentoward;
using namespace pimentoward::standins;
using namespace std::chrono_literals;

// Roll-outs of a service, with a VM that runs as a process of its own, and the stand-in store.

namespace {

constexpr const char *settingsOfRollouts = "canaryShare = 0.1\ncanarySlack = 20\n";
constexpr double maxShare = 0.1;
constexpr std::size_t allowance = 20;

/// A site whose single service has backend servers of two versions.
class RolloutSite
{
public:
    explicit RolloutSite(const std::string &bounds)
        : m_fixture(settingsWith(bounds))
    {
        Reason reason;
        for (unsigned index = 0; index < 3; ++index) {
            m_newServers.push_back(
                m_fixture.site().addServer(Site::singleService, "new-" + std::to_string(index),
                                           Site::domainName(index), reason, "v2"));
            REQUIRE(m_newServers.back() != nullptr);
        }
        REQUIRE(m_fixture.waitUntilServing());
    }

    void order(const std::string &version, std::chrono::seconds duration)
    {
        m_fixture.site().store().put(std::string(platform::wire::rolloutOrderPrefix)
                                         + Site::singleService,
                                     nlohmann::json {{"service", Site::singleService},
                                                     {"targetVersion", version},
                                                     {"durationS", duration.count()}}
                                         .dump());
    }

    /// Sends a request each 10 ms until `isDone`, but for at most `limit`.
    template <typename Condition>
    bool load(std::chrono::milliseconds limit, Condition isDone, const std::string &path = "/one/x")
    {
        constexpr auto period = 10ms;
        for (auto elapsed = 0ms; elapsed < limit && !isDone(); elapsed += period) {
            TierProcessFixture::Request request;
            request.path = path;
            m_fixture.send(request);
            ++m_requests;
            m_fixture.runUntil(period, [] { return false; });
        }
        return isDone();
    }

    /// The status in the store; empty if there is none.
    std::string state()
    {
        const StoreItem *item = m_fixture.site().store().model().read(
            std::string(platform::wire::rolloutStatusPrefix) + Site::singleService);
        return item != nullptr ? nlohmann::json::parse(item->value)["state"].get<std::string>()
                               : "";
    }

    std::size_t newRuns() const
    {
        std::size_t runs = 0;
        for (const ShardServer *server : m_newServers) {
            runs += server->runs().size();
        }
        return runs;
    }

    /// Makes the new servers fail every second request.
    void makeNewBad()
    {
        for (ShardServer *server : m_newServers) {
            server->changeFault([count = 0U](const HttpRequestMessage &) mutable {
                return ++count % 2 == 0 ? ShardServer::Fault::Failure : ShardServer::Fault::None;
            });
        }
    }

    std::size_t requests() const { return m_requests; }
    TierProcessFixture &fixture() { return m_fixture; }

private:
    static TierProcessFixture::Settings settingsWith(const std::string &bounds)
    {
        TierProcessFixture::Settings settings;
        settings.bounds = bounds;
        return settings;
    }

    TierProcessFixture m_fixture;
    std::vector<ShardServer *> m_newServers;
    std::size_t m_requests = 0;
};

} // namespace

TEST_CASE("ROUTE: backend servers of another version get no request before an order", "[rules]")
{
    RolloutSite site(settingsOfRollouts);
    site.load(500ms, [] { return false; });
    CHECK(site.newRuns() == 0);
    // Without the bounds of roll-outs, the version means nothing.
    RolloutSite without("");
    without.load(500ms, [] { return false; });
    CHECK(without.newRuns() > 0);
}

TEST_CASE("A good version is completed and gets all requests, although the store loses answers")
{
    const bool losesAnswers = GENERATE(false, true);
    RolloutSite site(settingsOfRollouts);
    site.order("v2", 6s);
    REQUIRE(site.load(2s, [&] { return site.state() == "serving"; }));
    if (losesAnswers) {
        site.load(3s, [] { return false; });
        site.fixture().site().store().changeMode(KeyValueServer::Mode::LoseAnswers);
        site.load(1s, [] { return false; });
        site.fixture().site().store().changeMode(KeyValueServer::Mode::Up);
    }
    CHECK(site.load(8s, [&] { return site.state() == "complete"; }));
    const std::size_t before = site.newRuns();
    constexpr std::size_t later = 20;
    site.load(200ms, [] { return false; });
    CHECK(site.fixture().runUntilEnded());
    CHECK(site.newRuns() >= before + later);
}

TEST_CASE("EXPOSURE: a bad version is rolled back within its share of the requests", "[rules]")
{
    RolloutSite site(settingsOfRollouts);
    site.makeNewBad();
    site.order("v2", 20s);
    CHECK(site.load(15s, [&] { return site.state() == "rolled_back"; }));
    const std::size_t runs = site.newRuns();
    CHECK(static_cast<double>(runs) <= maxShare * static_cast<double>(site.requests()) + allowance);
    site.load(500ms, [] { return false; });
    CHECK(site.newRuns() == runs);
}

TEST_CASE("EXPOSURE: a VM that is killed and starts again during a roll-out does not forget it")
{
    RolloutSite site(settingsOfRollouts);
    site.makeNewBad();
    site.order("v2", 20s);
    REQUIRE(site.load(15s, [&] { return site.state() == "rolled_back"; }));
    const std::size_t runs = site.newRuns();
    site.fixture().restart();
    REQUIRE(site.fixture().waitUntilServing());
    site.load(500ms, [] { return false; });
    CHECK(site.newRuns() == runs);
    CHECK(site.state() == "rolled_back");
}
