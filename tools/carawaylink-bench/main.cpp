#include "base/log.h"
#include "bench/benches.h"

#include <CLI/CLI.hpp>
#include <filesystem>
#include <iostream>

namespace {

using namespace carawaylink::bench;

void addBench(CLI::App& app, bench_options& options, int& status, const std::string& name, const std::string& description,
    int (*run)(const bench_options&))
{
    auto* command = app.add_subcommand(name, description);
    command->add_option("--seed", options.seed, "Seed of everything that is random")->capture_default_str();
    command->add_option("--folder", options.folder, "Folder for settings, output and histories; default is a temporary one");
    if (name == "control")
        command->add_option("--nodes", options.nodes, "Numbers of nodes, ascending")->delimiter(',')->capture_default_str();
    command->callback([&options, &status, run] { status = run(options); });
}

} // namespace

int main(int argc, char** argv)
{
    carawaylink::startLog("carawaylink-bench");
    CLI::App app("Benches of Carawaylink; the last line of output is NAME key=value ...");
    app.require_subcommand(1);
    int status = 0;
    bench_options options;
    options.binaries = std::filesystem::canonical("/proc/self/exe").parent_path().string();
    addBench(app, options, status, "faults", "Promises under faults at random times", runFaults);
    addBench(app, options, status, "recovery", "Times until a fleet has recovered from a fault or a change", runRecovery);
    addBench(app, options, status, "control", "Cost of the control traffic by number of nodes", runControl);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& failure) {
        return app.exit(failure);
    } catch (const std::exception& failure) {
        std::cerr << "carawaylink-bench: " << failure.what() << '\n';
        return 2;
    }
    return status;
}
