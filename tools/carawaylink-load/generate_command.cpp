#include "commands.h"

#include "base/error.h"
#include "load/generator.h"

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <memory>
#include <optional>

namespace carawaylink::load {
namespace {

struct generate_options {
    std::string settings;
    std::string out;
    std::optional<std::uint64_t> seed;
    std::optional<double> rate;
    std::optional<double> durationSeconds;
};

void generate(const generate_options& options)
{
    auto settings = readGeneratorSettings(options.settings);
    settings.seed = options.seed.value_or(settings.seed);
    settings.rate = options.rate.value_or(settings.rate);
    if (options.durationSeconds)
        settings.duration = std::chrono::milliseconds(static_cast<std::int64_t>(*options.durationSeconds * 1000));
    const auto calls = generateTrace(settings);
    if (options.out == "-") {
        writeTrace(std::cout, calls);
        return;
    }
    std::ofstream out(options.out, std::ios::trunc);
    writeTrace(out, calls);
    out.close();
    if (!out)
        throw error(error_kind::unavailable, "trace " + options.out + " cannot be written", "check the folder and its permissions");
    std::cout << "generate seed=" << settings.seed << " calls=" << calls.size() << '\n';
}

} // namespace

void addGenerateCommand(CLI::App& app, int&)
{
    auto* command = app.add_subcommand("generate", "Generate a trace from a settings file and a seed");
    const auto options = std::make_shared<generate_options>();
    command->add_option("settings", options->settings, "YAML settings of the generator")->required();
    command->add_option("--out", options->out, "Trace file, - for standard output")->required();
    command->add_option("--seed", options->seed, "Replaces the seed of the settings");
    command->add_option("--rate", options->rate, "Replaces the rate, calls per second")->check(CLI::Range(0.001, 1e6));
    command->add_option("--duration", options->durationSeconds, "Replaces the duration, seconds")->check(CLI::Range(0.001, 86400.0));
    command->callback([options] { generate(*options); });
}

} // namespace carawaylink::load
