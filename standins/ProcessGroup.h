#pragma once

#include "Pimentoward/Core/Types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace pimentoward::standins {

/// Starts, signals and stops the project's own programs for a bench program; no daemon uses it.
/// The destructor stops all processes that still run. If the bench program ends without running the
/// destructor, the kernel kills the processes.
class ProcessGroup
{
public:
    /// Creates `logFolder`. Standard output and standard error of each process go to NAME.log in
    /// it.
    explicit ProcessGroup(std::string logFolder);
    ~ProcessGroup();
    ProcessGroup(const ProcessGroup &) = delete;
    ProcessGroup &operator=(const ProcessGroup &) = delete;

    /// Starts `command` (program and arguments) under a name that is not in use. Throws
    /// std::runtime_error if the name is in use or the process cannot be created.
    void start(const std::string &name, const std::vector<std::string> &command);
    /// Sends the signal `number` to one process.
    void signal(const std::string &name, int number) const;
    /// Waits until one process has ended and returns its wait status (see waitpid). Returns -1 if
    /// it still runs after `limit`, or if there is no process of this name.
    int wait(const std::string &name, std::chrono::milliseconds limit);
    /// Stops the processes one after the other, in the reverse order of their starts: sends
    /// SIGTERM, and SIGKILL to a process that still runs 5 s later.
    void stopAll();

    /// Returns the name of a process that has ended and was not waited for, or nothing.
    std::optional<std::string> findEndedProcess() const;
    bool isRunning(const std::string &name) const;
    /// CPU time that one process has used so far; zero if there is no process of this name, or if
    /// it has ended and was waited for.
    Duration cpuTime(const std::string &name) const;
    /// Resident memory of one process, in bytes.
    std::uint64_t residentBytes(const std::string &name) const;
    /// The most resident memory that one process has had so far, in bytes; 0 if there is no process
    /// of this name.
    std::uint64_t peakResidentBytes(const std::string &name) const;
    /// Number of descriptors that one process holds; 0 if there is no process of this name.
    std::size_t openDescriptors(const std::string &name) const;

private:
    struct Process
    {
        std::string name;
        pid_t pid = 0;
    };

    /// Process ID, or 0 if there is no process of this name.
    pid_t pidOf(const std::string &name) const;
    void removeEntry(const std::string &name);

    std::string m_logFolder;
    std::vector<Process> m_processes;
};

} // namespace pimentoward::standins
