#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace CLI {
class App;
}

namespace carawaylink {

inline constexpr auto programVersion = "0.1.0";

/// Options that every stand-in program has.
struct program_options {
    std::string listen = "127.0.0.1:0";
    std::uint64_t seed = 1;
    std::string history;
};

/// Adds --version, --listen, --seed and --history.
void addProgramOptions(CLI::App& app, program_options& options);

/// Blocks SIGTERM and SIGINT in this thread and those it starts; call before any thread exists.
void blockStopSignals();
/// Waits for SIGTERM or SIGINT.
void waitForStopSignal();
/// Prints "listening address=ADDRESS" and flushes.
void printListening(const std::string& address);

/// Parses the arguments and runs body; returns the exit status: 0, 1 after an error, or that of CLI11 for wrong arguments.
int runProgram(CLI::App& app, int argc, char** argv, const std::function<void()>& body);

} // namespace carawaylink
