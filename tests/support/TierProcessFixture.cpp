#include "tests/support/TierProcessFixture.h"

#include "Pimentoward/Core/FileText.h"
#include "Pimentoward/Process/PreciseLoop.h"
#include "tests/support/LoopbackHost.h"
#include "tests/support/ScriptedServer.h"

#include <event2/event.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <set>
#include <stdexcept>

using namespace pimentoward;
using namespace pimentoward::standins;
using namespace std::chrono_literals;

namespace {

/// Time within which a process starts, or ends all requests, even under a sanitizer.
constexpr std::chrono::seconds processLimit {10};

std::string newFolder()
{
    static unsigned created = 0;
    const std::string name
        = "pimentoward-tier-" + std::to_string(getpid()) + "-" + std::to_string(created++);
    return (std::filesystem::temp_directory_path() / name).string();
}

std::string quoted(const std::string &text)
{
    return '"' + text + '"';
}

} // namespace

TierProcessFixture::TierProcessFixture(const Settings &settings)
    : m_folder(newFolder())
    , m_loop(newPreciseLoop())
    , m_site(std::make_unique<Site>(m_loop, settings.site))
    , m_caller(std::make_unique<SiteCaller>(m_loop, settings.site.host, "p"))
    , m_callerAddress(unusedAddress())
    , m_processes(m_folder)
{
    if (Reason reason; !m_site->start(reason)) {
        throw std::runtime_error(reason.text);
    }
    const std::string path = m_folder + "/settings.toml";
    const Address store {"127.0.0.1", m_site->store().port()};
    std::ofstream file(path);
    file << "nodeName = \"vm-0\"\nip = " << quoted(m_callerAddress.host)
         << "\nzone = " << quoted(Site::domainName(0))
         << "\n[listen]\nfrontend = " << quoted(m_callerAddress.toString())
         << "\nready = " << quoted(unusedAddress().toString())
         << "\ncontrol = " << quoted(unusedAddress().toString())
         << "\n[bounds]\ngraceS = " << settings.grace.count() << '\n'
         << settings.bounds << "\n[platform]\naddress = " << quoted(store.toString()) << "\n";
    if (settings.memoryMb != 0 || settings.descriptors != 0) {
        file << "[limits]\nmemoryMb = " << settings.memoryMb
             << "\nmaxFds = " << settings.descriptors << "\n";
    }
    file.close();
    start();
}

void TierProcessFixture::start()
{
    m_processes.start(processName,
                      {std::string(PIMENTOWARD_PROGRAMS) + "/pimento-tier", "--settings",
                       m_folder + "/settings.toml"});
}

void TierProcessFixture::restart()
{
    m_processes.signal(processName, SIGKILL);
    m_processes.wait(processName, processLimit);
    start();
}

TierProcessFixture::~TierProcessFixture()
{
    m_processes.signal(processName, SIGKILL);
    m_processes.stopAll();
    m_caller.reset();
    m_site.reset();
    event_base_free(m_loop);
    std::filesystem::remove_all(m_folder);
}

bool TierProcessFixture::waitUntilServing()
{
    constexpr int statusOk = 200;
    const SteadyTime end = std::chrono::steady_clock::now() + processLimit;
    while (std::chrono::steady_clock::now() < end) {
        const Outcome &outcome = send({});
        runUntil(1s, [&] { return outcome.hasEnded; });
        if (outcome.status == statusOk) {
            return true;
        }
        runLoop(m_loop, 20ms);
    }
    return false;
}

bool TierProcessFixture::runUntil(std::chrono::milliseconds limit,
                                  const std::function<bool()> &isDone)
{
    runLoop(m_loop, limit, isDone);
    return isDone();
}

bool TierProcessFixture::runUntilEnded()
{
    return runUntil(processLimit, [this] { return m_caller->haveAllEnded(); });
}

std::string TierProcessFixture::logText() const
{
    Reason reason;
    return readFile(m_folder + "/" + processName + ".log", reason).value_or("");
}

std::size_t TierProcessFixture::lostRequests()
{
    std::set<RequestId> runs;
    for (const ShardServer *server : m_site->allServers()) {
        for (const ShardServer::Run &run : server->runs()) {
            runs.insert(run.requestId);
        }
    }
    std::size_t lost = 0;
    for (const Outcome &outcome : m_caller->outcomes()) {
        lost += outcome.status == 0 && runs.count(outcome.requestId) > 0 ? 1 : 0;
    }
    return lost;
}
