#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace carawaylink::bench {

struct bench_options {
    /// Folder of the programs.
    std::string binaries;
    /// Receives settings, output and histories; a temporary one where empty, which is removed after a run without a breach.
    std::string folder;
    std::uint64_t seed = 1;
    /// Numbers of nodes of the bench "control".
    std::vector<std::size_t> nodes { 5, 10, 20, 40, 80, 160 };
};

// Every bench prints its figures, the last line being "NAME key=value ...", and returns the exit status: 0, or 1 where a promise
// was breached or a target was missed.
int runFaults(const bench_options& options);
int runRecovery(const bench_options& options);
int runControl(const bench_options& options);

} // namespace carawaylink::bench
