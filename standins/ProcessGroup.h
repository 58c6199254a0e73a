#pragma once

#include "Pimentoward/Core/Types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace pimentoward::standins {

/// The project's own programs, started and stopped by a bench program. No daemon uses it. What
/// still runs at the end is stopped, and ends with the bench program in any case.
class ProcessGroup
{
public:
    /// `logFolder` is created; each process's standard error goes to NAME.log in it.
    explicit ProcessGroup(std::string logFolder);
    ~ProcessGroup();
    ProcessGroup(const ProcessGroup &) = delete;
    ProcessGroup &operator=(const ProcessGroup &) = delete;

    /// Starts `command` (program and arguments) under a name that is not in use. Throws
    /// std::runtime_error where the process cannot be made.
    void start(const std::string &name, const std::vector<std::string> &command);
    /// Sends a signal to one process.
    void signal(const std::string &name, int number) const;
    /// Waits for the end of one process; its wait status, or -1 after `limit`.
    int wait(const std::string &name, std::chrono::milliseconds limit);
    /// SIGTERM in the reverse order of the starts, SIGKILL to what still runs after 5 s.
    void stopAll();

    /// Name of a process that has ended without being waited for, or nothing.
    std::optional<std::string> findEndedProcess() const;
    bool isRunning(const std::string &name) const;
    /// Processor time of one process so far; zero once it has ended.
    Duration cpuTime(const std::string &name) const;
    /// Resident memory of one process, in bytes.
    std::uint64_t residentBytes(const std::string &name) const;

private:
    struct Process
    {
        std::string name;
        pid_t pid = 0;
    };

    pid_t pidOf(const std::string &name) const;
    void forget(const std::string &name);

    std::string m_logFolder;
    std::vector<Process> m_processes;
};

} // namespace pimentoward::standins
