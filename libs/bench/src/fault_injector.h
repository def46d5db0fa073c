#pragma once

#include "bench/fault_schedule.h"
#include "bench_fleet.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace carawaylink::bench {

/// Carries out a schedule against a fleet, one thread per fault, and prints a line at the beginning and the end of each.
class fault_injector {
public:
    fault_injector(bench_fleet& fleet, std::uint64_t seed);

    /// Starts the schedule; times count from now.
    void start(const std::vector<planned_fault>& schedule);
    /// Waits until all faults have ended.
    void wait();
    std::size_t begun() const { return m_begun; }
    /// Counts the nodes and engines that ended although no fault ended them; prints a line for each. Call after wait().
    std::size_t crashes();

private:
    void carryOut(const planned_fault& fault);
    void begin(const planned_fault& fault);
    void end(const planned_fault& fault);
    /// Call with m_processes held, before a process is ended on purpose.
    void expectRunning(const std::string& name, child_process& process);
    void killNode(std::size_t index);
    void restartNode(std::size_t index);
    void drainNode(std::size_t index);
    void setEngine(std::size_t index, const std::string& json);
    void changeLinks(const planned_fault& fault, bool on);
    /// The first node from `start` on whose process has not ended.
    std::size_t runningNode(std::size_t start);
    void race(const planned_fault& fault);
    void print(const planned_fault& fault, std::string_view phase, const std::string& detail = {});

    bench_fleet& m_fleet;
    std::uint64_t m_seed;
    monotonic_time m_origin;
    std::size_t m_begun = 0;
    std::size_t m_crashes = 0;
    std::size_t m_configuration = 0;
    std::map<std::pair<std::size_t, std::size_t>, link_state> m_links;
    /// Guards the processes of nodes.
    std::mutex m_processes;
    /// Guards the other members and the output.
    std::mutex m_mutex;
    std::vector<std::jthread> m_threads;
};

} // namespace carawaylink::bench
