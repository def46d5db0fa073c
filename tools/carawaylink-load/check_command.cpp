#include "commands.h"

#include "load/checker.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <iostream>
#include <memory>

namespace carawaylink::load {

void addCheckCommand(CLI::App& app, int& status)
{
    struct command_options {
        std::vector<std::string> files;
        std::int64_t inversionToleranceMs = checker_settings {}.inversionTolerance.count();
        std::int64_t configLimitMs = checker_settings {}.configLimit.count();
    };
    auto* command = app.add_subcommand("check", "Decide the promises P1 to P8 from recorded histories; exit status 1 on a breach");
    const auto options = std::make_shared<command_options>();
    command->add_option("files", options->files, "Histories of all sources")->required();
    command->add_option("--inversion-tolerance-ms", options->inversionToleranceMs, "Time that a message between nodes needs (P2)")
        ->check(CLI::NonNegativeNumber)
        ->capture_default_str();
    command->add_option("--config-limit-ms", options->configLimitMs, "Longest time until a configuration is in force everywhere (P8)")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    command->callback([options, &status] {
        checker_settings settings;
        settings.inversionTolerance = std::chrono::milliseconds(options->inversionToleranceMs);
        settings.configLimit = std::chrono::milliseconds(options->configLimitMs);
        const auto results = checkPromises(history::read(options->files), settings);
        for (const auto& result : results)
            std::cout << promiseText(result);
        status = std::ranges::all_of(results, &promise_result::kept) ? 0 : 1;
    });
}

} // namespace carawaylink::load
