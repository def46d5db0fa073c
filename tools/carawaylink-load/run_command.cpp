#include "commands.h"

#include "load/metrics.h"
#include "load/replay.h"

#include <CLI/CLI.hpp>
#include <memory>
#include <sstream>

namespace carawaylink::load {
namespace {

struct run_options : summary_options {
    replay_settings replay;
    std::string trace;
    std::string historyPath = "load-history.jsonl";
    std::vector<std::string> plain;
    std::vector<std::string> keys;
    std::vector<std::string> with;
    std::int64_t patienceMs = 5000;
    std::int64_t drainMs = 60000;
};

int run(run_options& options)
{
    const auto weights = readWeights(options.weights);
    auto& settings = options.replay;
    settings.plainServices = { options.plain.begin(), options.plain.end() };
    for (const auto& text : options.keys)
        settings.keys.insert(splitPair(text, "--key"));
    settings.patience = std::chrono::milliseconds(options.patienceMs);
    settings.drainLimit = std::chrono::milliseconds(options.drainMs);
    const auto calls = readTraceFile(options.trace);
    if (settings.runId.empty())
        settings.runId = "r" + std::to_string(historyTimeUs());
    history_writer writer(options.historyPath);
    const auto totals = replayTrace(settings, calls, writer);
    std::ostringstream extra;
    extra << "abandoned=" << totals.abandoned << " largest_lag_ms=" << static_cast<double>(totals.largestLag.count()) / 1000
          << " tokens_read=" << totals.tokens << " elapsed_s=" << static_cast<double>(totals.elapsed.count()) / 1e6;
    auto files = options.with;
    files.push_back(options.historyPath);
    return printSummary(measureLoad(history::read(files), weights), options, extra.str());
}

} // namespace

void addRunCommand(CLI::App& app, int& status)
{
    auto* command = app.add_subcommand("run", "Replay a trace against a fleet, open-loop");
    const auto options = std::make_shared<run_options>();
    options->replay.runId.clear();
    command->add_option("--trace", options->trace, "Trace, JSON Lines")->required();
    command->add_option("--entry", options->replay.entry, "Entry addresses ip:port")->required()->delimiter(',');
    command->add_option("--history", options->historyPath, "History file to write")->capture_default_str();
    command->add_option("--plain", options->plain, "Service that takes plain HTTP calls; repeatable");
    command->add_option("--key", options->keys, "TEAM=KEY; the default key of a team is key-TEAM");
    command->add_option("--run-id", options->replay.runId, "First part of every call id; default from the clock");
    command->add_option("--threads", options->replay.threads, "Threads")->capture_default_str();
    command->add_option("--retries", options->replay.retries, "Retries of a call that holds a ticket")->capture_default_str();
    command->add_option("--speed", options->replay.speed, "Factor on the arrival rate")->capture_default_str();
    command->add_option("--ticket-stock", options->replay.ticketStock, "Tickets held per team and thread")->capture_default_str();
    command->add_option("--patience-ms", options->patienceMs, "Time after the deadline before a silent connection is given up")
        ->capture_default_str();
    command->add_option("--drain-ms", options->drainMs, "Longest wait for open calls after the last arrival")->capture_default_str();
    command->add_option("--with", options->with, "History of an engine or node to include in the figures; repeatable");
    addSummaryOptions(*command, *options);
    command->callback([options, &status] { status = run(*options); });
}

} // namespace carawaylink::load
