#pragma once

#include "base/ids.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace carawaylink::bench {

/// Processor time and memory of a process, from /proc.
struct process_usage {
    /// User plus system time, in seconds.
    double cpuSeconds = 0;
    std::uint64_t residentBytes = 0;
};

/// A program started for a bench. Killed and reaped when the object goes.
class child_process {
public:
    /// Starts the program with standard output and error going to NAME.out and NAME.err in the folder. Throws error(unavailable).
    child_process(std::string name, const std::string& folder, const std::vector<std::string>& command);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// Waits for the lines "listening key=value ..." and returns their values in order. Throws error(timeout) with the end of the
    /// error output where the program does not print count lines in time.
    std::vector<std::map<std::string, std::string>> waitUntilListening(std::size_t count, duration limit);
    void signal(int number);
    /// Sends SIGKILL and reaps.
    void kill();
    /// Waits for the exit; returns the exit status (128 + signal where it was killed), nothing where the limit passed.
    std::optional<int> waitForExit(duration limit);
    bool running();
    process_usage usage() const;
    const std::string& name() const { return m_name; }
    pid_t id() const { return m_id; }

private:
    std::string m_name;
    std::string m_outputPath;
    std::string m_errorPath;
    pid_t m_id = -1;
    std::optional<int> m_status;
};

} // namespace carawaylink::bench
