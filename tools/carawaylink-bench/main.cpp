#include "base/error.h"
#include "bench/benches.h"

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <iostream>

namespace {

struct bench_entry {
    const char* name;
    const char* description;
    int (*run)(const carawaylink::bench::bench_options&);
};

constexpr bench_entry benches[] = {
    { "scheduling", "Compare the pool scheduler with the baseline policies", carawaylink::bench::runSchedulingBench },
    { "node", "Throughput and added latency of one node", carawaylink::bench::runNodeBench },
    { "faults", "Promises under faults at random times", carawaylink::bench::runFaultsBench },
    { "recovery", "Times until a fleet has recovered from a fault or a change", carawaylink::bench::runRecoveryBench },
    { "control", "Cost of the control traffic by number of nodes", carawaylink::bench::runControlBench },
};

std::string temporaryFolder()
{
    auto pattern = (std::filesystem::temp_directory_path() / "carawaylink-bench.XXXXXX").string();
    if (!mkdtemp(pattern.data()))
        throw carawaylink::error(carawaylink::error_kind::unavailable, "cannot make a temporary folder", "name one with --folder");
    return pattern;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "Benches of Carawaylink with real processes on loopback. Example: carawaylink-bench scheduling --seed 1" };
    app.set_version_flag("--version", "carawaylink-bench 0.1.0");
    app.require_subcommand(1);
    carawaylink::bench::bench_options options;
    std::function<int(const carawaylink::bench::bench_options&)> chosen;
    for (const auto& bench : benches) {
        auto* command = app.add_subcommand(bench.name, bench.description);
        command->add_option("--binaries", options.binaries, "Folder of the programs")->capture_default_str();
        command->add_option("--folder", options.folder,
            "Existing folder for output and histories; default is a temporary one that is removed after success");
        command->add_option("--seed", options.seed, "Seed of the workload")->capture_default_str();
        command->add_option("--seeds", options.seeds, "Number of seeds of the scheduling bench")->capture_default_str();
        command->add_option("--loads", options.loads, "Loads of the scheduling bench, as shares of capacity");
        command->add_option("--nodes", options.nodes, "Numbers of nodes of the control bench, ascending")->delimiter(',');
        command->callback([&chosen, run = bench.run] { chosen = run; });
    }
    CLI11_PARSE(app, argc, argv);
    try {
        const bool temporary = options.folder.empty();
        if (temporary)
            options.folder = temporaryFolder();
        const int status = chosen(options);
        // The files of a failed run show why it failed.
        if (temporary && status == EXIT_SUCCESS)
            std::filesystem::remove_all(options.folder);
        return status;
    } catch (const carawaylink::error& failure) {
        std::cerr << failure.what() << "\n";
        return EXIT_FAILURE;
    }
}
