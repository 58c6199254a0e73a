#include "standins/ProcessGroup.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace pimentoward::standins {

namespace {

constexpr std::chrono::milliseconds pollPeriod {5};
constexpr std::chrono::milliseconds stopLimit {5000};

/// Runs in the child process after the fork and replaces it with the program. Does not return.
[[noreturn]] void execProgram(std::vector<char *> &arguments, const char *log)
{
    constexpr int execFailedStatus = 127;
    constexpr mode_t logMode = 0644;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    std::signal(SIGTERM, SIG_DFL);
    std::signal(SIGINT, SIG_DFL);
    sigset_t noSignals;
    sigemptyset(&noSignals);
    sigprocmask(SIG_SETMASK, &noSignals, nullptr);
    const int file = open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, logMode);
    dup2(file, STDERR_FILENO);
    dup2(file, STDOUT_FILENO);
    execv(arguments[0], arguments.data());
    _exit(execFailedStatus);
}

} // namespace

ProcessGroup::ProcessGroup(std::string logFolder)
    : m_logFolder(std::move(logFolder))
{
    std::filesystem::create_directories(m_logFolder);
}

ProcessGroup::~ProcessGroup()
{
    stopAll();
}

void ProcessGroup::start(const std::string &name, const std::vector<std::string> &command)
{
    if (pidOf(name) != 0) {
        throw std::runtime_error("process '" + name + "' is already running");
    }
    // All memory is allocated before the fork, so that the child process only makes system calls.
    const std::string log = m_logFolder + "/" + name + ".log";
    std::vector<std::string> copies = command;
    std::vector<char *> arguments;
    arguments.reserve(copies.size() + 1);
    for (std::string &argument : copies) {
        arguments.push_back(argument.data());
    }
    arguments.push_back(nullptr);
    // Signals are blocked during the fork, so that the child process does not run this program's
    // signal handlers before it has reset them.
    sigset_t allSignals;
    sigset_t previousMask;
    sigfillset(&allSignals);
    sigprocmask(SIG_SETMASK, &allSignals, &previousMask);
    const pid_t pid = fork();
    if (pid != 0) {
        sigprocmask(SIG_SETMASK, &previousMask, nullptr);
    }
    if (pid < 0) {
        throw std::runtime_error("cannot create a process for '" + command.front() + "'");
    }
    if (pid == 0) {
        execProgram(arguments, log.c_str());
    }
    m_processes.push_back({name, pid});
}

void ProcessGroup::signal(const std::string &name, int number) const
{
    if (const pid_t pid = pidOf(name); pid != 0) {
        kill(pid, number);
    }
}

int ProcessGroup::wait(const std::string &name, std::chrono::milliseconds limit)
{
    const pid_t pid = pidOf(name);
    const auto end = std::chrono::steady_clock::now() + limit;
    int status = 0;
    while (pid != 0) {
        if (waitpid(pid, &status, WNOHANG) == pid) {
            removeEntry(name);
            return status;
        }
        if (std::chrono::steady_clock::now() >= end) {
            break;
        }
        std::this_thread::sleep_for(pollPeriod);
    }
    return -1;
}

void ProcessGroup::stopAll()
{
    while (!m_processes.empty()) {
        const std::string name = m_processes.back().name;
        signal(name, SIGCONT);
        signal(name, SIGTERM);
        if (wait(name, stopLimit) == -1) {
            signal(name, SIGKILL);
            wait(name, stopLimit);
        }
        removeEntry(name);
    }
}

bool ProcessGroup::isRunning(const std::string &name) const
{
    siginfo_t info {};
    const pid_t pid = pidOf(name);
    return pid != 0
        && waitid(P_PID, static_cast<id_t>(pid), &info, WEXITED | WNOHANG | WNOWAIT) == 0
        && info.si_pid == 0;
}

std::optional<std::string> ProcessGroup::findEndedProcess() const
{
    for (const Process &process : m_processes) {
        if (!isRunning(process.name)) {
            return process.name;
        }
    }
    return std::nullopt;
}

Duration ProcessGroup::cpuTime(const std::string &name) const
{
    clockid_t clock {};
    timespec time {};
    const pid_t pid = pidOf(name);
    if (pid == 0 || clock_getcpuclockid(pid, &clock) != 0 || clock_gettime(clock, &time) != 0) {
        return Duration::zero();
    }
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

std::uint64_t ProcessGroup::residentBytes(const std::string &name) const
{
    std::ifstream file("/proc/" + std::to_string(pidOf(name)) + "/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

std::uint64_t ProcessGroup::peakResidentBytes(const std::string &name) const
{
    constexpr std::uint64_t bytesPerKilobyte = 1024;
    const std::string peakField = "VmHWM:";
    std::ifstream file("/proc/" + std::to_string(pidOf(name)) + "/status");
    for (std::string field; file >> field;) {
        if (std::uint64_t kilobytes = 0; field == peakField && file >> kilobytes) {
            return kilobytes * bytesPerKilobyte;
        }
    }
    return 0;
}

std::size_t ProcessGroup::openDescriptors(const std::string &name) const
{
    std::error_code error;
    const std::filesystem::directory_iterator folder("/proc/" + std::to_string(pidOf(name)) + "/fd",
                                                     error);
    return static_cast<std::size_t>(std::distance(begin(folder), end(folder)));
}

pid_t ProcessGroup::pidOf(const std::string &name) const
{
    const auto found = std::find_if(m_processes.begin(), m_processes.end(),
                                    [&name](const Process &p) { return p.name == name; });
    return found == m_processes.end() ? 0 : found->pid;
}

void ProcessGroup::removeEntry(const std::string &name)
{
    m_processes.erase(std::remove_if(m_processes.begin(), m_processes.end(),
                                     [&name](const Process &p) { return p.name == name; }),
                      m_processes.end());
}

} // namespace pimentoward::standins
