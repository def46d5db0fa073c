#include "standins/log_server.h"
#include "standins/program.h"

#include <CLI/CLI.hpp>

using namespace carawaylink;

int main(int argc, char** argv)
{
    CLI::App app("Stand-in of the platform's append-only log and of the weight store");
    program_options program;
    log_options options;
    std::int64_t retentionMs = 24 * 3600 * 1000;
    std::int64_t weightLoadMs = 2000;
    addProgramOptions(app, program);
    app.add_option("--retention-records", options.retentionRecords, "Records that a stream keeps")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app.add_option("--retention-ms", retentionMs, "Age up to which records are kept")->check(CLI::PositiveNumber)->capture_default_str();
    app.add_option("--appends-per-s", options.appendsPerSecond, "Rate limit over all streams")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app.add_option("--weight-loads", options.weightLoads, "Loads that the weight store serves at a time")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app.add_option("--weight-load-ms", weightLoadMs, "Time of one load from the weight store")
        ->check(CLI::NonNegativeNumber)
        ->capture_default_str();
    return runProgram(app, argc, argv, [&] {
        options.retention = std::chrono::milliseconds(retentionMs);
        options.weightLoadTime = std::chrono::milliseconds(weightLoadMs);
        options.seed = program.seed;
        blockStopSignals();
        log_server server(options, std::make_shared<history_writer>(program.history));
        printListening(server.listen(program.listen));
        waitForStopSignal();
    });
}
