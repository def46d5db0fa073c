#include "standins/program.h"

#include "base/error.h"
#include "base/log.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

namespace carawaylink {

namespace {

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void addProgramOptions(CLI::App& app, program_options& options)
{
    app.set_version_flag("--version", programVersion);
    app.add_option("--listen", options.listen, "ip:port to listen on; port 0 takes a free one")->capture_default_str();
    app.add_option("--seed", options.seed, "Seed of the random faults")->capture_default_str();
    app.add_option("--history", options.history, "File that the history is appended to, as JSON Lines");
}

void blockStopSignals()
{
    const auto signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void waitForStopSignal()
{
    const auto signals = stopSignals();
    int received = 0;
    sigwait(&signals, &received);
}

void printListening(const std::string& address)
{
    std::cout << "listening address=" << address << std::endl;
}

int runProgram(CLI::App& app, int argc, char** argv, const std::function<void()>& body)
{
    CLI11_PARSE(app, argc, argv);
    startLog(argv[0]);
    try {
        body();
        return 0;
    } catch (const error& failure) {
        log_event("program_failed", log_level::error).field("error", failure.message()).field("remedy", failure.remedy());
        return 1;
    }
}

} // namespace carawaylink
