#pragma once

#include "standins/ProcessGroup.h"
#include "standins/Site.h"
#include "standins/SiteCaller.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

/// A VM of the tier as a real process, so that signals can be sent to it, and a stand-in site and
/// callers on the event loop of the test.
class TierProcessFixture
{
public:
    using Outcome = pimentoward::standins::SiteCaller::Outcome;
    using Request = pimentoward::standins::SiteCaller::Request;

    struct Settings
    {
        pimentoward::standins::Site::Settings site;
        /// Time between the stop signal and the moment at which the platform kills the process.
        std::chrono::seconds grace {4};
        /// Further lines for the section "bounds" of the settings file.
        std::string bounds;
        /// The VM's limits of memory and of open descriptors; 0 if its settings state none.
        std::size_t memoryMb = 0;
        std::size_t descriptors = 0;
    };

    explicit TierProcessFixture(const Settings &settings);
    ~TierProcessFixture();
    TierProcessFixture(const TierProcessFixture &) = delete;
    TierProcessFixture &operator=(const TierProcessFixture &) = delete;

    event_base *loop() const { return m_loop; }
    pimentoward::standins::Site &site() { return *m_site; }
    const pimentoward::Address &callerAddress() const { return m_callerAddress; }
    /// Runs the loop until the process serves requests. Returns false if that takes longer than
    /// 10 s.
    bool waitUntilServing();
    /// Kills the process and starts it again with the same settings.
    void restart();
    void signal(int number) { m_processes.signal(processName, number); }
    bool isRunning() const { return m_processes.isRunning(processName); }
    /// The most resident memory that the process has had so far, in bytes.
    std::uint64_t peakResidentBytes() const { return m_processes.peakResidentBytes(processName); }
    std::size_t openDescriptors() const { return m_processes.openDescriptors(processName); }
    /// What the process has logged so far.
    std::string logText() const;

    /// Sends a request on a new connection. The outcome is filled in while the loop runs.
    Outcome &send(const Request &request) { return m_caller->send(m_callerAddress, request); }
    const std::list<Outcome> &outcomes() const { return m_caller->outcomes(); }
    /// Number of requests that a backend server has run and that ended without any answer.
    std::size_t lostRequests();
    /// Runs the loop until `isDone` returns true. Returns false if that takes longer than `limit`.
    bool runUntil(std::chrono::milliseconds limit, const std::function<bool()> &isDone);
    /// Runs the loop until all requests have ended. Returns false if that takes longer than 10 s.
    bool runUntilEnded();

private:
    static constexpr const char *processName = "tier";

    void start();

    std::string m_folder;
    event_base *m_loop;
    std::unique_ptr<pimentoward::standins::Site> m_site;
    std::unique_ptr<pimentoward::standins::SiteCaller> m_caller;
    pimentoward::Address m_callerAddress;
    pimentoward::standins::ProcessGroup m_processes;
};
