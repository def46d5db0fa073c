#include "commands.h"

#include "base/error.h"
#include "load/metrics.h"
#include "load/report.h"

#include <CLI/CLI.hpp>
#include <iostream>
#include <memory>

namespace carawaylink::load {

std::pair<std::string, std::string> splitPair(const std::string& text, const std::string& option)
{
    const auto equals = text.find('=');
    if (equals == 0 || equals == std::string::npos)
        throw error(error_kind::invalid_argument, option + " " + text + " is not NAME=VALUE", "write " + option + " NAME=VALUE");
    return { text.substr(0, equals), text.substr(equals + 1) };
}

std::map<std::string, double> readWeights(const std::vector<std::string>& texts)
{
    std::map<std::string, double> weights;
    for (const auto& text : texts) {
        const auto [team, value] = splitPair(text, "--weight");
        double weight = 0;
        if (!CLI::detail::lexical_cast(value, weight) || !(weight > 0))
            throw error(error_kind::invalid_argument, "--weight " + text + " is not a number above 0", "write --weight TEAM=2");
        weights[team] = weight;
    }
    return weights;
}

void addSummaryOptions(CLI::App& command, summary_options& options)
{
    command.add_option("--weight", options.weights, "TEAM=WEIGHT for the Jain index; default weight 1");
    command.add_option("--expect", options.expect, "YAML file of outcomes; exit status 1 where one falls short");
    command.add_option("--output", options.output, "text or json")->check(CLI::IsMember({ "text", "json" }))->capture_default_str();
}

int printSummary(const load_metrics& metrics, const summary_options& options, const std::string& extra)
{
    std::vector<std::string> shortfalls;
    if (!options.expect.empty())
        shortfalls = compareOutcomes(metrics, options.expect);
    for (const auto& shortfall : shortfalls)
        std::cerr << "outcome fell short: " << shortfall << '\n';
    if (options.output == "json")
        std::cout << metricsJson(metrics) << '\n';
    else
        std::cout << metricsTable(metrics) << metricsLine(metrics, extra) << '\n';
    return shortfalls.empty() ? 0 : 1;
}

void addSummaryCommand(CLI::App& app, int& status)
{
    struct command_options : summary_options {
        std::vector<std::string> files;
    };
    auto* command = app.add_subcommand("summary", "Print the figures of recorded histories");
    const auto options = std::make_shared<command_options>();
    command->add_option("files", options->files, "Histories of callers, engines and nodes")->required();
    addSummaryOptions(*command, *options);
    command->callback([options, &status] {
        const auto merged = history::read(options->files);
        status = printSummary(measureLoad(merged, readWeights(options->weights)), *options, "");
    });
}

void addReportCommand(CLI::App& app, int&)
{
    struct command_options {
        std::vector<std::string> files;
        std::vector<std::string> weights;
        std::string out;
    };
    auto* command = app.add_subcommand("report", "Write an HTML page with plots of recorded histories");
    const auto options = std::make_shared<command_options>();
    command->add_option("files", options->files, "Histories of all sources")->required();
    command->add_option("--out", options->out, "Folder to write")->required();
    command->add_option("--weight", options->weights, "TEAM=WEIGHT for the Jain index; default weight 1");
    command->callback([options] {
        writeReport(history::read(options->files), readWeights(options->weights), options->out);
        std::cout << "report " << options->out << "/index.html\n";
    });
}

} // namespace carawaylink::load
