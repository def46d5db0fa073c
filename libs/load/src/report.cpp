#include "load/report.h"

#include "base/error.h"
#include "load/checker.h"
#include "load/metrics.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <set>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>

extern char** environ;

namespace carawaylink::load {
namespace {

namespace fs = std::filesystem;

constexpr std::int64_t secondUs = 1'000'000;

void writeFile(const fs::path& path, const std::string& text)
{
    std::ofstream out(path, std::ios::trunc);
    out << text;
    out.close();
    if (!out)
        throw error(error_kind::unavailable, path.string() + " cannot be written", "check the folder and its permissions");
}

void runGnuplot(const fs::path& script)
{
    std::string program = "gnuplot";
    std::string argument = script.string();
    char* arguments[] = { program.data(), argument.data(), nullptr };
    pid_t child = 0;
    const auto failure = posix_spawnp(&child, "gnuplot", nullptr, nullptr, arguments, environ);
    if (failure != 0)
        throw error(error_kind::unavailable, std::string("gnuplot cannot be started: ") + std::strerror(failure), "install gnuplot-nox");
    int status = 0;
    while (waitpid(child, &status, 0) < 0 && errno == EINTR) { }
    if (status != 0)
        throw error(error_kind::unavailable, "gnuplot failed on " + argument, "run gnuplot on that file to see its message");
}

std::string htmlText(std::string_view text)
{
    std::string result;
    for (const char c : text) {
        switch (c) {
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '&':
            result += "&amp;";
            break;
        default:
            result += c;
        }
    }
    return result;
}

/// Text inside gnuplot double quotes.
std::string plotText(std::string_view text)
{
    std::string result;
    std::ranges::copy_if(text, std::back_inserter(result), [](char c) { return c != '"' && c != '\\' && c != '`' && c != '\n'; });
    return result;
}

class report_writer {
public:
    report_writer(const history& merged, const std::map<std::string, double>& weights, fs::path directory)
        : m_history(merged)
        , m_directory(std::move(directory))
        , m_outcomes(collectOutcomes(merged))
        , m_metrics(measureLoad(merged, weights))
        , m_origin(m_outcomes.empty() ? 0 : m_outcomes.front().arrivalUs)
    {
    }

    void write()
    {
        // "noenhanced" keeps underscores in the names of tiers and faults as they are.
        m_script
            << "set terminal svg size 900,360 noenhanced background rgb 'white'\nset grid\nset key outside right\nset xlabel 'time (s)'\n";
        writeFaultMarks();
        writeGoodput();
        writeWastedPrefill();
        m_script << "unset arrow\nunset label\n";
        writeLatency("first_token", "first token", &group_metrics::firstToken);
        writeLatency("between_tokens", "between tokens", &group_metrics::betweenTokens);
        writeLatency("whole", "whole answer", &group_metrics::whole);
        const auto script = m_directory / "plots.gp";
        writeFile(script, m_script.str());
        runGnuplot(script);
        writePage();
    }

private:
    std::int64_t secondOf(std::int64_t timeUs) const { return (timeUs - m_origin) / secondUs; }

    void beginPlot(const std::string& name, const std::string& title)
    {
        m_plots.push_back(name);
        m_script << "set output '" << (m_directory / (name + ".svg")).string() << "'\nset title '" << title << "'\n";
    }

    void writeFaultMarks()
    {
        int height = 0;
        for (const auto& record : m_history.records()) {
            if (record.source != history_source::fault)
                continue;
            const auto at = static_cast<double>(record.timeUs - m_origin) / 1e6;
            m_script << "set arrow from " << at << ", graph 0 to " << at << ", graph 1 nohead dashtype 2 lc rgb 'red'\n";
            // Labels of faults close to each other are put at different heights.
            m_script << "set label \"" << plotText(record.event) << "\" at " << at << ", graph " << 0.97 - 0.06 * (height++ % 5)
                     << " font ',9' textcolor rgb 'red'\n";
        }
    }

    void writeGoodput()
    {
        std::map<std::int64_t, std::map<std::int64_t, std::pair<int, int>>> byTier;
        std::int64_t end = 0;
        for (const auto& outcome : m_outcomes) {
            auto& [offered, good] = byTier[outcome.tier][secondOf(outcome.arrivalUs)];
            ++offered;
            good += outcome.inTime ? 1 : 0;
            end = std::max(end, secondOf(outcome.arrivalUs));
        }
        if (byTier.empty())
            return;
        for (const auto& [tier, seconds] : byTier) {
            std::ostringstream data;
            for (std::int64_t second = 0; second <= end; ++second) {
                const auto found = seconds.find(second);
                const auto [offered, good] = found == seconds.end() ? std::pair(0, 0) : found->second;
                data << second << ' ' << offered << ' ' << good << '\n';
            }
            writeFile(m_directory / ("tier" + std::to_string(tier) + ".dat"), data.str());
        }
        beginPlot("goodput", "Goodput by tier, by second of arrival");
        m_script << "set ylabel 'calls per second'\nset yrange [0:*]\nplot ";
        const char* separator = "";
        for (const auto& [tier, seconds] : byTier) {
            const auto file = (m_directory / ("tier" + std::to_string(tier) + ".dat")).string();
            m_script << separator << "'" << file << "' using 1:3 with lines lw 2 lc " << tier + 1 << " title 'tier " << tier << " good', '"
                     << file << "' using 1:2 with lines dashtype 3 lc " << tier + 1 << " title 'tier " << tier << " offered'";
            separator = ", ";
        }
        m_script << '\n';
    }

    void writeWastedPrefill()
    {
        std::map<std::int64_t, prefill_use> bySecond;
        for (const auto& use : collectPrefills(m_history, m_outcomes)) {
            auto& sum = bySecond[secondOf(use.timeUs)];
            sum.computed += use.computed;
            sum.unfinished += use.unfinished;
            sum.repeated += use.repeated;
        }
        if (bySecond.empty())
            return;
        std::ostringstream data;
        for (const auto& [second, use] : bySecond)
            data << second << ' ' << use.computed << ' ' << use.unfinished << ' ' << use.repeated << '\n';
        const auto file = m_directory / "prefill.dat";
        writeFile(file, data.str());
        beginPlot("prefill", "Prefill by second of its start");
        m_script << "set ylabel 'tokens per second'\nset yrange [0:*]\nplot '" << file.string()
                 << "' using 1:2 with lines lw 2 title 'all', '" << file.string() << "' using 1:3 with lines title 'no whole answer', '"
                 << file.string() << "' using 1:4 with lines title 'cached elsewhere'\n";
    }

    void writeLatency(const std::string& name, const std::string& title, latency_histogram group_metrics::*member)
    {
        std::vector<std::int64_t> tiers;
        for (const auto& [tier, group] : m_metrics.tiers) {
            const auto& histogram = group.*member;
            if (histogram.total() == 0)
                continue;
            std::ostringstream data;
            std::int64_t seen = 0;
            for (const auto& [bound, count] : histogram.buckets()) {
                seen += count;
                data << std::max(0.001, static_cast<double>(bound) / 1000) << ' '
                     << static_cast<double>(seen) / static_cast<double>(histogram.total()) << '\n';
            }
            writeFile(m_directory / (name + std::to_string(tier) + ".dat"), data.str());
            tiers.push_back(tier);
        }
        if (tiers.empty())
            return;
        beginPlot(name, "Latency, " + title);
        m_script << "set logscale x\nset xlabel 'milliseconds'\nset ylabel 'share of calls at most'\nset yrange [0:1]\nplot ";
        const char* separator = "";
        for (const auto tier : tiers) {
            m_script << separator << "'" << (m_directory / (name + std::to_string(tier) + ".dat")).string()
                     << "' using 1:2 with steps lw 2 title 'tier " << tier << "'";
            separator = ", ";
        }
        m_script << "\nunset logscale x\n";
    }

    void writePage()
    {
        std::ostringstream page;
        page << "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Carawaylink load report</title></head>\n<body>\n"
             << "<h1>Carawaylink load report</h1>\n<pre>" << htmlText(metricsTable(m_metrics)) << htmlText(metricsLine(m_metrics, ""))
             << "</pre>\n<h2>Promises</h2>\n<pre>";
        for (const auto& result : checkPromises(m_history, {}))
            page << htmlText(promiseText(result));
        page << "</pre>\n";
        for (const auto& plot : m_plots)
            page << "<p><img src=\"" << plot << ".svg\" alt=\"" << plot << "\"></p>\n";
        page << "</body></html>\n";
        writeFile(m_directory / "index.html", page.str());
    }

    const history& m_history;
    fs::path m_directory;
    std::vector<call_outcome> m_outcomes;
    load_metrics m_metrics;
    std::int64_t m_origin;
    std::ostringstream m_script;
    std::vector<std::string> m_plots;
};

} // namespace

void writeReport(const history& merged, const std::map<std::string, double>& teamWeights, const std::string& directory)
{
    std::error_code failure;
    fs::create_directories(directory, failure);
    if (failure)
        throw error(error_kind::unavailable, directory + " cannot be created: " + failure.message(), "check the path");
    report_writer(merged, teamWeights, directory).write();
}

} // namespace carawaylink::load
