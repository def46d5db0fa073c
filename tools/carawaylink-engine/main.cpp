#include "base/error.h"
#include "http/message.h"
#include "standins/engine_server.h"
#include "standins/program.h"

#include <CLI/CLI.hpp>

using namespace carawaylink;

namespace {

duration milliseconds(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(value));
}

struct arguments {
    program_options program;
    engine_server_options server;
    double iterationMs = 0;
    double tokenMs = 15;
    double tokenMsPerSequence = 0.25;
    double keepSeconds = 60;
    double modelLoadMs = 5000;
    double adapterLoadMs = 500;
    std::size_t instances = 1;
};

void addOptions(CLI::App& app, arguments& values)
{
    auto& engine = values.server.engine;
    addProgramOptions(app, values.program);
    app.add_option("--instances", values.instances, "Engines in this process; a given port is that of the first one")
        ->check(CLI::Range(1, 1000))
        ->capture_default_str();
    app.add_option("--model", engine.model, "Model that is loaded at the start")->capture_default_str();
    app.add_option("--generation", engine.generation, "Hardware generation")->capture_default_str();
    app.add_option("--version-name", engine.version, "Model version at the start")->capture_default_str();
    app.add_option("--role", engine.role, "Role at the start")->capture_default_str();
    app.add_option("--speed", engine.speed, "Divides the time of every iteration")->check(CLI::PositiveNumber)->capture_default_str();
    app.add_option("--max-running", engine.maxRunning, "Sequences in one batch")->check(CLI::PositiveNumber)->capture_default_str();
    app.add_option("--max-waiting", engine.maxWaiting, "Requests in the queue")->check(CLI::PositiveNumber)->capture_default_str();
    app.add_option("--cache-tokens", engine.cacheTokens, "KV memory of running sequences and cached prompts")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app.add_option("--prefill-rate", engine.prefillTokensPerSecond, "Prompt tokens per second")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app.add_option("--prefill-chunk", engine.prefillChunk, "Prompt tokens of one iteration")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app.add_option("--token-ms", values.tokenMs, "Time of an iteration")->check(CLI::NonNegativeNumber)->capture_default_str();
    app.add_option("--token-ms-per-sequence", values.tokenMsPerSequence, "Time of an iteration per generating sequence")
        ->check(CLI::NonNegativeNumber)
        ->capture_default_str();
    app.add_option("--iteration-ms", values.iterationMs, "Shortest time of an iteration")
        ->check(CLI::NonNegativeNumber)
        ->capture_default_str();
    app.add_option("--keep-s", values.keepSeconds, "Time that output is kept after its end")
        ->check(CLI::NonNegativeNumber)
        ->capture_default_str();
    app.add_option("--model-load-ms", values.modelLoadMs, "Time of a load_model order")
        ->check(CLI::NonNegativeNumber)
        ->capture_default_str();
    app.add_option("--adapter-load-ms", values.adapterLoadMs, "Time of a load_adapter order")
        ->check(CLI::NonNegativeNumber)
        ->capture_default_str();
    app.add_option("--max-models", engine.maxModels, "Models in memory")->check(CLI::PositiveNumber)->capture_default_str();
    app.add_option("--kv-transfer-rate", engine.kvTransferTokensPerSecond, "Tokens per second of a KV export or import")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app.add_option("--weight-store", values.server.weightStore, "ip:port of the weight store that load_model orders call");
    app.add_flag("--ignores-fencing", engine.ignoresFencing, "Start with enforce_fencing off");
}

std::string addressOf(const socket_address& base, std::size_t instance)
{
    const auto port = base.port == 0 ? 0 : base.port + instance;
    return base.ip + ":" + std::to_string(port);
}

void run(arguments& values)
{
    auto& engine = values.server.engine;
    engine.tokenTime = milliseconds(values.tokenMs);
    engine.tokenTimePerSequence = milliseconds(values.tokenMsPerSequence);
    engine.minimumIteration = milliseconds(values.iterationMs);
    engine.keep = milliseconds(values.keepSeconds * 1000);
    engine.modelLoadTime = milliseconds(values.modelLoadMs);
    engine.adapterLoadTime = milliseconds(values.adapterLoadMs);
    blockStopSignals();
    const auto history = std::make_shared<history_writer>(values.program.history);
    const auto base = parseAddress(values.program.listen);
    std::vector<std::unique_ptr<engine_server>> servers;
    for (std::size_t i = 0; i < values.instances; ++i) {
        engine.seed = values.program.seed + i;
        servers.push_back(std::make_unique<engine_server>(values.server, history));
        printListening(servers.back()->listen(addressOf(base, i)));
    }
    waitForStopSignal();
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Stand-in of a model engine with continuous batching and a prefix cache");
    arguments values;
    addOptions(app, values);
    return runProgram(app, argc, argv, [&] { run(values); });
}
