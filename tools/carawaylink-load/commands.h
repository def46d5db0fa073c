#pragma once

namespace CLI {
class App;
}

namespace carawaylink {

/// Each function adds one subcommand; the subcommand writes the exit status of the program.
void addGenerateCommand(CLI::App& app, int& status);
void addRunCommand(CLI::App& app, int& status);

} // namespace carawaylink
