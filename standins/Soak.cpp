#include "standins/Soak.h"

#include "standins/SiteChecker.h"

#include <event2/event.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace pimentoward::standins {

using namespace std::chrono_literals;

namespace {

constexpr double minCoverage = 0.6;
constexpr int statusOk = 200;
/// Maximum time after the start, or after the last fault, until every VM serves requests.
constexpr std::chrono::seconds recoveryLimit {8};
constexpr std::chrono::seconds stopLimit {8};
/// Maximum time after the last fault until every VM acts on the state of the store.
constexpr std::chrono::seconds propagationTime {4};
/// Time between two requests of the load.
constexpr std::chrono::milliseconds loadPeriod {8};
/// Time between two iterations of the run.
constexpr std::chrono::milliseconds tickPeriod {4};
/// Name of the relayed link between the VMs and the store.
constexpr const char *storeLink = "store";

} // namespace

Soak::Soak(event_base *loop, const Settings &settings)
    : m_loop(loop)
    , m_settings(settings)
    , m_random(settings.seed)
    , m_site(loop,
             [&] {
                 Site::Settings site;
                 site.store = {settings.host + "250", 7100};
                 site.shards = settings.shards;
                 site.publishedAddress = [this](const ShardServer &server) {
                     return m_serverFaults.addressOf(server);
                 };
                 return site;
             }())
    , m_relay(loop, RelayLinkSettings {1ms, 2ms, 0, 200ms}, settings.seed)
    , m_serverFaults(m_site, m_relay, settings.host + "252",
                     {[this](unsigned below) { return draw(below); },
                      [this](const std::string &event) { logEvent(event); },
                      [this](std::function<void()> action) { scheduleUndo(std::move(action)); }})
    , m_caller(loop, Site::Settings().host, "s" + std::to_string(settings.seed) + "-")
    , m_processes(settings.logFolder)
{ }

Soak::~Soak()
{
    // The VMs are killed and not drained: all checks are done, and drains would only take time.
    for (const Vm &vm : m_vms) {
        m_processes.signal(vm.name, SIGKILL);
    }
}

unsigned Soak::draw(unsigned below)
{
    return m_random() % below;
}

void Soak::logEvent(const std::string &event)
{
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - m_started);
    m_report.events.push_back(std::to_string(time.count()) + " ms " + event);
}

std::string Soak::vmSettings(std::size_t index) const
{
    const std::string ip = m_settings.host + std::to_string(index + 1);
    std::ostringstream text;
    text << "nodeName = \"vm-" << index << "\"\nip = \"" << ip << "\"\nzone = \""
         << Site::domainName(index) << "\"\ninternalPorts = [7380, 7395]\nseeds = [\""
         << m_settings.host << "1:8106\"]\n[listen]\nfrontend = \"" << ip << ":8080\"\nready = \""
         << ip << ":8081\"\ncontrol = \"" << ip
         << ":8106\"\n[bounds]\nretryRatio = 0.2\nretryWindowS = 10\nretrySlack = 60\n"
         << "graceS = 4\n[platform]\naddress = \"" << m_settings.host << "251:7100\"\n";
    return text.str();
}

void Soak::startVm(Vm &vm)
{
    const std::string path = m_settings.logFolder + "/" + vm.name + ".toml";
    std::vector<std::string> command {m_settings.programs + "/pimento-tier", "--settings", path};
    if (!m_settings.without.empty()) {
        command = {m_settings.programs + "/weak-tier", "--settings", path, "--without",
                   m_settings.without};
    }
    m_processes.start(vm.name, command);
    vm.state = VmState::Running;
    ++vm.starts;
}

Soak::Report Soak::run()
{
    Reason reason;
    const Relay::Pair link {
        storeLink, {m_settings.host + "251", 7100}, {m_settings.host + "250", 7100}};
    if (!m_site.start(reason) || !m_relay.listen(link, reason)) {
        m_report.violations.push_back("cannot start the stand-in site: " + reason.text);
        return m_report;
    }
    for (std::size_t index = 0; index < m_settings.vms; ++index) {
        const std::string ip = m_settings.host + std::to_string(index + 1);
        m_vms.push_back({"vm-" + std::to_string(index), {ip, 8080}});
        std::ofstream(m_settings.logFolder + "/" + m_vms.back().name + ".toml")
            << vmSettings(index);
        startVm(m_vms.back());
    }
    m_started = std::chrono::steady_clock::now();
    checkRecovery();
    SteadyTime nextFault = std::chrono::steady_clock::now();
    runFor(m_settings.faultPeriod, [&] {
        if (const SteadyTime now = std::chrono::steady_clock::now(); now >= nextFault) {
            injectFault();
            nextFault = now + std::chrono::milliseconds(150 + draw(700));
        }
    });
    runDueUndos(true);
    logEvent("calm");
    const SteadyTime faultsEndedAt = std::chrono::steady_clock::now();
    checkRecovery();
    runFor(std::max(std::chrono::duration_cast<std::chrono::milliseconds>(
                        faultsEndedAt + propagationTime - std::chrono::steady_clock::now()),
                    0ms),
           [] {});
    checkDraining();
    runFor(1500ms, [] {});
    const std::vector<std::string> found
        = SiteChecker(m_settings.shards, minCoverage)
              .violations(m_caller.outcomes(), m_site.allServers());
    m_report.violations.insert(m_report.violations.end(), found.begin(), found.end());
    for (const SiteCaller::Outcome &outcome : m_caller.outcomes()) {
        m_report.served += outcome.status == statusOk ? 1 : 0;
    }
    m_report.requests = m_caller.outcomes().size();
    return m_report;
}

void Soak::runFor(std::chrono::milliseconds time, const std::function<void()> &step)
{
    const SteadyTime end = std::chrono::steady_clock::now() + time;
    SteadyTime nextLoad = std::chrono::steady_clock::now();
    constexpr timeval tick {0, std::chrono::microseconds(tickPeriod).count()};
    while (std::chrono::steady_clock::now() < end) {
        event_base_loopexit(m_loop, &tick);
        event_base_dispatch(m_loop);
        if (std::chrono::steady_clock::now() >= nextLoad) {
            nextLoad += loadPeriod;
            sendNextRequest();
        }
        runDueUndos(false);
        restartEndedVms();
        step();
    }
}

void Soak::sendNextRequest()
{
    static constexpr const char *paths[] = {"/all/x", "/all/y?z=1", "/one/x", "/once/x"};
    SiteCaller::Request request;
    request.path = paths[draw(std::size(paths))];
    if (request.path == "/once/x") {
        request.method = "POST";
        request.body = std::string(1 + draw(3000), 'b');
    }
    request.timeLeft = 300ms + std::chrono::milliseconds(draw(700));
    if (draw(12) == 0) {
        request.disconnectAfter = std::chrono::milliseconds(1 + draw(60));
    }
    m_caller.send(m_vms[draw(static_cast<unsigned>(m_vms.size()))].callerAddress, request);
}

void Soak::injectFault()
{
    switch (draw(5)) {
    case 0:
        injectVmFault();
        break;
    case 1:
        injectStoreFault();
        break;
    case 2:
    case 3:
        m_serverFaults.injectRandomFault();
        break;
    default:
        changeSettings();
    }
}

void Soak::scheduleUndo(std::function<void()> action)
{
    const auto time = std::chrono::milliseconds(200 + draw(2200));
    m_pendingUndos.push_back({std::chrono::steady_clock::now() + time, std::move(action)});
}

void Soak::runDueUndos(bool undoAll)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    std::vector<Undo> due;
    for (std::size_t index = 0; index < m_pendingUndos.size();) {
        if (!undoAll && now < m_pendingUndos[index].at) {
            ++index;
            continue;
        }
        due.push_back(std::move(m_pendingUndos[index]));
        m_pendingUndos.erase(m_pendingUndos.begin() + static_cast<std::ptrdiff_t>(index));
    }
    for (const Undo &undo : due) {
        undo.action();
    }
}

void Soak::injectVmFault()
{
    const std::size_t index = draw(static_cast<unsigned>(m_vms.size()));
    Vm &vm = m_vms[index];
    if (vm.state != VmState::Running) {
        return;
    }
    switch (draw(4)) {
    case 0:
        logEvent(vm.name + " is paused with SIGSTOP");
        m_processes.signal(vm.name, SIGSTOP);
        vm.state = VmState::Paused;
        scheduleUndo([this, index] {
            m_processes.signal(m_vms[index].name, SIGCONT);
            m_vms[index].state = VmState::Running;
        });
        break;
    case 1:
        logEvent(vm.name + " is killed with SIGKILL");
        m_processes.signal(vm.name, SIGKILL);
        vm.state = VmState::Stopping;
        break;
    case 2:
        logEvent(vm.name + " reloads its settings on SIGHUP");
        m_processes.signal(vm.name, SIGHUP);
        break;
    default:
        logEvent(vm.name + " is stopped with SIGTERM");
        m_processes.signal(vm.name, SIGTERM);
        vm.state = VmState::Stopping;
    }
}

void Soak::restartEndedVms()
{
    for (Vm &vm : m_vms) {
        if (vm.state == VmState::Stopping && !m_processes.isRunning(vm.name)) {
            m_processes.wait(vm.name, stopLimit);
            startVm(vm);
        }
    }
    if (const auto name = m_processes.findEndedProcess()) {
        for (Vm &vm : m_vms) {
            if (vm.name == *name && vm.state == VmState::Running) {
                m_report.violations.push_back("EXIT " + vm.name + " ended unexpectedly");
                m_processes.wait(vm.name, stopLimit);
                startVm(vm);
            }
        }
    }
}

void Soak::injectStoreFault()
{
    using Mode = KeyValueServer::Mode;
    static constexpr Mode modes[]
        = {Mode::Down, Mode::Busy, Mode::Unresponsive, Mode::LoseAnswers, Mode::Malformed};
    static constexpr RelayMode links[]
        = {RelayMode::Cut, RelayMode::CutToTarget, RelayMode::CutToCaller, RelayMode::Frozen};
    switch (draw(4)) {
    case 0: {
        const Mode mode = modes[draw(std::size(modes))];
        logEvent("store is in mode " + std::to_string(static_cast<int>(mode)));
        m_site.store().changeMode(mode);
        scheduleUndo([this] { m_site.store().changeMode(Mode::Up); });
        break;
    }
    case 1: {
        const RelayMode mode = links[draw(std::size(links))];
        logEvent("link to the store is in mode " + std::to_string(static_cast<int>(mode)));
        m_relay.changeMode(storeLink, mode);
        scheduleUndo([this] { m_relay.changeMode(storeLink, RelayMode::Up); });
        break;
    }
    case 2:
        logEvent("store answers are delayed");
        m_site.store().changeDelay(300ms);
        scheduleUndo([this] { m_site.store().changeDelay(0ms); });
        break;
    default:
        logEvent("store drops its history");
        m_site.store().dropHistory();
    }
}

void Soak::changeSettings()
{
    if (draw(3) == 0) {
        const std::string domain = Site::domainName(draw(2));
        logEvent("failure domain " + domain + " is out of service");
        m_site.store().put("op/evacuate/" + domain, "{}");
        scheduleUndo([this, domain] { m_site.store().remove("op/evacuate/" + domain); });
        return;
    }
    logEvent("a new version of the settings is written");
    m_site.writeSettings();
    if (draw(4) == 0) {
        m_site.writeSettings();
    }
}

bool Soak::isServing(const Vm &vm, const char *path)
{
    SiteCaller::Request request;
    request.path = path;
    const SiteCaller::Outcome &outcome = m_caller.send(vm.callerAddress, request);
    const SteadyTime end = std::chrono::steady_clock::now() + request.timeLeft + 200ms;
    while (!outcome.hasEnded && std::chrono::steady_clock::now() < end) {
        runFor(tickPeriod, [] {});
    }
    return outcome.status == statusOk;
}

void Soak::checkRecovery()
{
    const SteadyTime end = std::chrono::steady_clock::now() + recoveryLimit;
    for (Vm &vm : m_vms) {
        for (const char *path : {"/all/x", "/one/x", "/once/x"}) {
            bool isDone = false;
            while (!isDone && std::chrono::steady_clock::now() < end) {
                isDone = vm.state == VmState::Running && isServing(vm, path);
                runFor(50ms, [] {});
            }
            if (!isDone) {
                m_report.violations.push_back("RECOVER " + vm.name + " does not serve " + path);
            }
        }
    }
}

void Soak::checkDraining()
{
    const std::vector<const ShardServer *> &draining = m_serverFaults.draining();
    std::vector<std::uint64_t> before;
    before.reserve(draining.size());
    for (const ShardServer *server : draining) {
        before.push_back(server->arrivals());
    }
    runFor(1000ms, [] {});
    for (std::size_t index = 0; index < draining.size(); ++index) {
        if (draining[index]->arrivals() != before[index]) {
            m_report.violations.push_back("DRAIN " + draining[index]->settings().id
                                          + " still gets requests while it is draining");
        }
    }
}

} // namespace pimentoward::standins
