#pragma once

#include <map>
#include <string>
#include <vector>

namespace CLI {
class App;
}

namespace carawaylink::load {

struct load_metrics;

/// Each function adds one subcommand; the subcommand writes the exit status of the program.
void addGenerateCommand(CLI::App& app, int& status);
void addRunCommand(CLI::App& app, int& status);
void addCheckCommand(CLI::App& app, int& status);
void addSummaryCommand(CLI::App& app, int& status);
void addReportCommand(CLI::App& app, int& status);

/// What the subcommands that print figures have in common.
struct summary_options {
    std::vector<std::string> weights;
    std::string expect;
    std::string output = "text";
};
void addSummaryOptions(CLI::App& command, summary_options& options);

/// Reads NAME=VALUE; throws error(invalid_argument) naming the option.
std::pair<std::string, std::string> splitPair(const std::string& text, const std::string& option);
/// Reads TEAM=WEIGHT.
std::map<std::string, double> readWeights(const std::vector<std::string>& texts);

/// Prints the figures and compares them with the expected outcomes. Returns the exit status: 1 where one fell short.
int printSummary(const load_metrics& metrics, const summary_options& options, const std::string& extra);

} // namespace carawaylink::load
