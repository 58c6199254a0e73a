#include "tests/support/CallerCrowd.h"
#include "tests/support/SlowCaller.h"
#include "tests/support/TierProcessFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

using namespace pimentoward;
using namespace pimentoward::standins;
using namespace std::chrono_literals;

// Crowds of callers outside the limits, against a VM that runs as a process of its own. They check
// that the process lives, that its memory and its descriptors stay within the VM's own limits, and
// that an ordinary request is answered afterwards.

namespace {

constexpr std::size_t megabyte = 1'048'576;
/// Limits of the VM, in its settings.
constexpr std::size_t memoryMb = 64;
constexpr std::size_t descriptors = 400;
/// Maximum size of a request body, in the operators' settings.
constexpr std::size_t bodyLimit = megabyte;
/// Callers that send large bodies: more than twice the VM's memory together.
constexpr std::size_t bodyCallers = 160;
/// Callers that hold a connection: more than the VM's descriptors.
constexpr std::size_t idleCallers = 600;
/// Maximum time of a step, even under a sanitizer.
constexpr std::chrono::seconds stepLimit {20};

TierProcessFixture::Settings smallVm(std::size_t memory)
{
    TierProcessFixture::Settings settings;
    settings.memoryMb = memory;
    settings.descriptors = descriptors;
    settings.site.adjustRoute = [](nlohmann::json &route) {
        constexpr int timeoutMs = 8000;
        route["timeoutMs"] = timeoutMs;
    };
    return settings;
}

/// A small VM and the checks on it.
class CrowdedVm
{
public:
    explicit CrowdedVm(std::size_t memory = memoryMb)
        : m_fixture(smallVm(memory))
    {
        m_fixture.site().writeSettings([](nlohmann::json &document) {
            constexpr int requestTimeoutMs = 20'000;
            constexpr int idleTimeoutMs = 60'000;
            document["limits"]["maxBodyBytes"] = bodyLimit;
            document["limits"]["headerTimeoutMs"] = requestTimeoutMs;
            document["limits"]["idleTimeoutMs"] = idleTimeoutMs;
        });
        REQUIRE(m_fixture.waitUntilServing());
        // The new limits apply to new connections.
        m_fixture.runUntil(500ms, [] { return false; });
    }

    TierProcessFixture &fixture() { return m_fixture; }

    /// Lets all callers send their bytes, in pieces of `pieceBytes`.
    void play(CallerCrowd &crowd, std::size_t pieceBytes)
    {
        do {
            crowd.sendNext(pieceBytes);
            watch(stepLimit, [&] { return crowd.hasSent(); });
        } while (crowd.unsentBytes() > 0);
        watch(500ms, [] { return false; });
    }

    /// Runs the loop and keeps the most descriptors that the process has held.
    void watch(std::chrono::milliseconds limit, const std::function<bool()> &isDone)
    {
        m_fixture.runUntil(limit, [&] {
            m_mostDescriptors = std::max(m_mostDescriptors, m_fixture.openDescriptors());
            return isDone();
        });
    }

    /// Checks the state of the process while the crowd is still there.
    void check()
    {
        TierProcessFixture::Request ordinary;
        ordinary.timeLeft = 8s;
        const TierProcessFixture::Outcome &outcome = m_fixture.send(ordinary);
        watch(stepLimit, [&] { return outcome.hasEnded; });
        CHECK(outcome.status == 200);
        CHECK(m_fixture.isRunning());
        CHECK(m_mostDescriptors < descriptors);
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
        WARN("the memory is not judged: the sanitizer's own is a multiple of the process's");
#else
        CHECK(m_fixture.peakResidentBytes() < memoryMb * megabyte);
#endif
    }

private:
    TierProcessFixture m_fixture;
    std::size_t m_mostDescriptors = 0;
};

std::string head(const std::string &fields)
{
    return "POST /once/x HTTP/1.1\r\nHost: site.test\r\nX-Request-Id: crowd\r\n" + fields + "\r\n";
}

/// A request with a body of `size` bytes that lacks its last bytes.
std::string unfinishedBody(std::size_t size)
{
    constexpr std::size_t missing = 10;
    return head("Content-Length: " + std::to_string(size) + "\r\n")
        + std::string(size - missing, 'x');
}

/// A request with a body of `size` bytes in chunks of `chunkSize`, without the last chunk.
std::string unfinishedChunks(std::size_t size, std::size_t chunkSize)
{
    std::ostringstream chunk;
    chunk << std::hex << chunkSize << "\r\n" << std::string(chunkSize, 'x') << "\r\n";
    std::string bytes = head("Transfer-Encoding: chunked\r\n");
    for (std::size_t sent = 0; sent + chunkSize <= size; sent += chunkSize) {
        bytes += chunk.str();
    }
    return bytes;
}

void playBodies(const std::string &bytes, std::size_t pieceBytes)
{
    CrowdedVm vm;
    CallerCrowd crowd(vm.fixture().loop(), vm.fixture().callerAddress(), bodyCallers, bytes);
    vm.play(crowd, pieceBytes);
    vm.check();
}

} // namespace

TEST_CASE("A crowd of large bodies that stop short of their end leaves a VM in its limits",
          "[crowd]")
{
    playBodies(unfinishedBody(bodyLimit), bodyLimit * 2);
}

TEST_CASE("A crowd of large bodies that arrive piece by piece leaves a VM in its limits", "[crowd]")
{
    constexpr std::size_t pieceBytes = 65'536;
    playBodies(unfinishedBody(bodyLimit), pieceBytes);
}

TEST_CASE("A crowd of bodies in large chunks leaves a VM in its limits", "[crowd]")
{
    constexpr std::size_t chunkBytes = 65'536;
    playBodies(unfinishedChunks(bodyLimit, chunkBytes), bodyLimit * 2);
}

TEST_CASE("A crowd of bodies in very small chunks leaves a VM in its limits", "[crowd]")
{
    playBodies(unfinishedChunks(bodyLimit, 1), bodyLimit * 8);
}

TEST_CASE("A crowd of complete large requests leaves a VM in its limits", "[crowd]")
{
    playBodies(head("Content-Length: " + std::to_string(bodyLimit) + "\r\n")
                   + std::string(bodyLimit, 'x'),
               bodyLimit * 2);
}

TEST_CASE("A crowd that announces bodies far over the limit leaves a VM in its limits", "[crowd]")
{
    constexpr std::size_t factor = 4;
    playBodies(unfinishedBody(bodyLimit * factor), bodyLimit * factor * 2);
}

TEST_CASE("A crowd that just sends bodies far over the limit leaves a VM in its limits", "[crowd]")
{
    constexpr std::size_t factor = 4;
    constexpr std::size_t chunkBytes = 65'536;
    playBodies(unfinishedChunks(bodyLimit * factor, chunkBytes), bodyLimit * factor * 2);
}

TEST_CASE("A crowd of heads with very many fields leaves a VM in its limits", "[crowd]")
{
    std::string bytes = head("");
    bytes.resize(bytes.size() - 2);
    // As many fields as the limit of 8 KB for heads takes.
    constexpr std::size_t fields = 8000;
    for (std::size_t index = 0; index < fields; ++index) {
        bytes += "a:\r\n";
    }
    CrowdedVm vm;
    CallerCrowd crowd(vm.fixture().loop(), vm.fixture().callerAddress(), idleCallers, bytes);
    vm.play(crowd, bytes.size());
    vm.check();
}

TEST_CASE("A crowd of connections that send nothing leaves a VM in its limits", "[crowd]")
{
    CrowdedVm vm;
    CallerCrowd crowd(vm.fixture().loop(), vm.fixture().callerAddress(), idleCallers, "");
    vm.play(crowd, 1);
    vm.check();
}

TEST_CASE("A crowd of connections that send a part of a head leaves a VM in its limits", "[crowd]")
{
    CrowdedVm vm;
    CallerCrowd crowd(vm.fixture().loop(), vm.fixture().callerAddress(), idleCallers,
                      "GET /one/x HTTP/1.1\r\nHost: si");
    vm.play(crowd, bodyLimit);
    vm.check();
}

// Callers that ask for one long answer after the other and read none of them.
TEST_CASE("A crowd that reads no answers leaves a VM in its limits", "[crowd]")
{
    CrowdedVm vm;
    constexpr std::size_t records = 100'000;
    constexpr std::size_t answerCallers = 20;
    // More answers than the kernel takes for a caller that does not read.
    constexpr std::size_t answersEach = 40;
    for (ShardServer *server : vm.fixture().site().servers(Site::singleService)) {
        server->changeRecords(records);
    }
    std::vector<std::unique_ptr<SlowCaller>> callers;
    for (std::size_t index = 0; index < answerCallers; ++index) {
        callers.push_back(
            std::make_unique<SlowCaller>(vm.fixture().loop(), vm.fixture().callerAddress()));
        for (std::size_t answer = 0; answer < answersEach; ++answer) {
            callers.back()->send(
                "GET /one/x HTTP/1.1\r\nHost: site.test\r\nX-Request-Id: crowd\r\n\r\n");
        }
    }
    vm.watch(5s, [] { return false; });
    vm.check();
}

// Guards against limits that a single request inside the operators' limits meets.
TEST_CASE("A single request with the longest body is answered by the smallest VM", "[crowd]")
{
    constexpr std::size_t smallestVmMb = 112;
    CrowdedVm vm(smallestVmMb);
    TierProcessFixture::Request longest;
    longest.method = "POST";
    longest.path = "/once/x";
    longest.body = std::string(bodyLimit, 'x');
    longest.timeLeft = 8s;
    const TierProcessFixture::Outcome &outcome = vm.fixture().send(longest);
    vm.watch(stepLimit, [&] { return outcome.hasEnded; });
    CHECK(outcome.status == 200);
    vm.check();
    CHECK(vm.fixture().logText().find("caller-gave-way") == std::string::npos);
}
