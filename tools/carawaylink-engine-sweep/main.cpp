#include "standins/engine_sweep.h"
#include "standins/program.h"

#include <CLI/CLI.hpp>
#include <iostream>

using namespace carawaylink;

namespace {

double milliseconds(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

void printCell(const sweep_cell& cell)
{
    const auto result = runSweep(cell);
    std::cout << "speed=" << cell.engine.speed << " max_running=" << cell.engine.maxRunning << " prompt_tokens=" << cell.promptTokens
              << " output_tokens=" << cell.outputTokens << " first_token_ms=" << milliseconds(result.firstTokenMean)
              << " first_token_p95_ms=" << milliseconds(result.firstTokenP95) << " time_per_token_ms=" << milliseconds(result.timePerToken)
              << " tokens_per_s=" << result.outputTokensPerSecond << " cache_hit_share=" << result.cacheHitShare
              << " refused=" << result.refused << std::endl;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Prints the latency and throughput of the engine model, in virtual time");
    std::vector<double> speeds { 1, 2, 4 };
    std::vector<std::size_t> batches { 1, 4, 16 };
    std::vector<std::int64_t> prompts { 100, 1000, 10000 };
    std::vector<std::int64_t> outputs { 10, 100, 1000 };
    sweep_cell cell;
    app.set_version_flag("--version", programVersion);
    app.add_option("--speed", speeds, "Speeds")->check(CLI::PositiveNumber)->delimiter(',')->capture_default_str();
    app.add_option("--max-running", batches, "Batch sizes")->check(CLI::PositiveNumber)->delimiter(',')->capture_default_str();
    app.add_option("--prompt-tokens", prompts, "Prompt lengths")->check(CLI::NonNegativeNumber)->delimiter(',')->capture_default_str();
    app.add_option("--output-tokens", outputs, "Output lengths")->check(CLI::PositiveNumber)->delimiter(',')->capture_default_str();
    app.add_option("--requests", cell.requests, "Requests of each cell")->check(CLI::PositiveNumber)->capture_default_str();
    app.add_option("--prefix-share", cell.prefixShare, "Share of a prompt that is a common prefix")
        ->check(CLI::Range(0.0, 1.0))
        ->capture_default_str();
    app.add_option("--prefixes", cell.prefixes, "Common prefixes")->check(CLI::PositiveNumber)->capture_default_str();
    app.add_option("--cache-tokens", cell.engine.cacheTokens, "KV memory")->check(CLI::PositiveNumber)->capture_default_str();
    app.add_option("--prefill-rate", cell.engine.prefillTokensPerSecond, "Prompt tokens per second")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app.add_option("--prefill-chunk", cell.engine.prefillChunk, "Prompt tokens of one iteration")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    return runProgram(app, argc, argv, [&] {
        for (const auto speed : speeds)
            for (const auto batch : batches)
                for (const auto prompt : prompts)
                    for (const auto output : outputs) {
                        cell.engine.speed = speed;
                        cell.engine.maxRunning = batch;
                        cell.promptTokens = prompt;
                        cell.outputTokens = output;
                        printCell(cell);
                    }
    });
}
