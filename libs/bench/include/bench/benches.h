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
};

/// Compares the pool scheduler with the baseline policies; returns the exit status.
int runSchedulingBench(const bench_options& options);
/// Throughput and added latency of one node; returns the exit status.
int runNodeBench(const bench_options& options);

} // namespace carawaylink::bench
