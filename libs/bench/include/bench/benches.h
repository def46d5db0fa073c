#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace carawaylink::bench {

struct bench_options {
    /// Folder of the programs.
    std::string binaries = "build/bin";
    /// Folder for settings, output and histories; empty takes a new temporary one.
    std::string folder;
    std::uint64_t seed = 1;
    /// Seeds that the scheduling bench runs, from seed on.
    std::size_t seeds = 5;
    /// Loads of the scheduling bench, as a share of capacity.
    std::vector<double> loads { 0.7, 1.3, 2.0 };
    /// Numbers of nodes of the control bench, ascending.
    std::vector<std::size_t> nodes { 5, 10, 20, 40, 80, 160 };
};

/// Compares the pool scheduler with the baseline policies; returns the exit status.
int runSchedulingBench(const bench_options& options);
/// Throughput and added latency of one node; returns the exit status.
int runNodeBench(const bench_options& options);

/// Promises under faults at random times; returns 1 where one was breached.
int runFaultsBench(const bench_options& options);
/// Times until a fleet has recovered from a fault or a change; returns 1 where a target was missed.
int runRecoveryBench(const bench_options& options);
/// Cost of the control traffic by number of nodes; returns 1 where a target at 750 nodes was missed.
int runControlBench(const bench_options& options);

} // namespace carawaylink::bench
