#include "bench/benches.h"

#include "base/error.h"
#include "bench/linear_trend.h"
#include "bench_fleet.h"

#include <algorithm>
#include <filesystem>
#include <iomanip>
#include <iostream>
#include <map>
#include <numeric>
#include <ranges>
#include <sstream>
#include <thread>

namespace carawaylink::bench {

namespace {

using clock = std::chrono::steady_clock;

constexpr double targetNodes = 750;
constexpr double targetBytes = 3000;
constexpr double targetCpuPercent = 4.9;
constexpr double targetMegabytes = 64;
// Nodes keep a connection to every other up to this many members (maxFullMesh of the daemon). Above it they close connections
// that were idle for 30 s, so the costs of both sizes follow different lines.
constexpr std::size_t fullMeshNodes = 32;
constexpr auto closeIdleTime = std::chrono::seconds(35);
constexpr auto idleTime = std::chrono::seconds(8);
// A peak hour has three times the mean of 11,000 changes and 65 failures a day.
constexpr double changesPerSecond = 3 * 11000.0 / 86400;
constexpr std::size_t changes = 5;
constexpr double failuresPerSecond = 3 * 65.0 / 86400;
constexpr auto failureTime = std::chrono::seconds(4);
// The largest number of nodes whose processes and stand-ins stay below the limits of the machine.
constexpr std::size_t maxNodes = 290;
constexpr std::uint64_t maxResidentBytes = 12ULL << 30;
constexpr auto agreementTimeout = std::chrono::seconds(60);

/// Counters of a node since its start.
struct node_counters {
    /// By kind of message.
    std::map<std::string, double> bytes;
    double messages = 0;
    double cpuSeconds = 0;
    double residentBytes = 0;
};

struct control_rates {
    /// Time of the measurement.
    double seconds = 0;
    double bytesPerSecond = 0;
    std::map<std::string, double> bytesByKind;
    double messagesPerSecond = 0;
    double cpuPercent = 0;
    double megabytes = 0;
};

/// Values of the gauges of that name by their label "kind".
std::map<std::string, double> gaugesOf(const std::string& page, const std::string& name)
{
    constexpr std::string_view label = "kind=\"";
    std::istringstream lines(page);
    std::map<std::string, double> values;
    for (std::string line; std::getline(lines, line);) {
        const auto kind = line.find(label);
        if (line.starts_with('#') || kind == std::string::npos || line.find("name=\"" + name + "\"") == std::string::npos)
            continue;
        const auto begin = kind + label.size();
        values[line.substr(begin, line.find('"', begin) - begin)] += std::stod(line.substr(line.rfind(' ') + 1));
    }
    return values;
}

double sumOf(const std::map<std::string, double>& values)
{
    const auto numbers = values | std::views::values;
    return std::accumulate(numbers.begin(), numbers.end(), 0.0);
}

node_counters countersOf(const running_node& node)
{
    const auto page = blocking_http_client().send(node.httpAddress, { "GET", "/metrics", {}, {} }, std::chrono::seconds(5)).body;
    const auto usage = node.process->usage();
    auto bytes = gaugesOf(page, "mesh_sent_bytes");
    for (const auto& [kind, value] : gaugesOf(page, "membership_sent_bytes"))
        bytes["membership_" + kind] += value;
    return { std::move(bytes), sumOf(gaugesOf(page, "mesh_sent_messages")) + sumOf(gaugesOf(page, "membership_sent_messages")),
        usage.cpuSeconds, static_cast<double>(usage.residentBytes) };
}

class control_stage {
public:
    control_stage(const bench_options& options, const std::string& folder, std::size_t nodes)
        : m_fleet(
            options, folder, { .nodes = nodes, .enginesPerSpeed = 1, .services = 1, .relayed = false, .readyLimit = agreementTimeout })
    {
        if (nodes > fullMeshNodes)
            std::this_thread::sleep_for(closeIdleTime);
    }

    control_rates idle()
    {
        return measure([] { std::this_thread::sleep_for(idleTime); });
    }

    /// Changes at the rate of a peak hour.
    control_rates changing()
    {
        return measure([this] {
            const auto begin = clock::now();
            for (std::size_t i = 1; i <= changes; ++i) {
                m_fleet.processes().publish(bench_fleet::configuration(++m_configuration));
                std::this_thread::sleep_until(begin + std::chrono::duration<double>(static_cast<double>(i) / changesPerSecond));
            }
        });
    }

    /// One node is killed and replaced.
    control_rates failure()
    {
        return measure([this] {
            auto& last = m_fleet.node(m_fleet.nodeCount() - 1);
            last.process->kill();
            m_fleet.processes().restartNode(last);
            std::this_thread::sleep_for(failureTime);
        });
    }

    std::uint64_t residentBytes()
    {
        std::uint64_t sum = 0;
        for (std::size_t i = 0; i < m_fleet.nodeCount(); ++i)
            sum += m_fleet.node(i).process->usage().residentBytes;
        return sum;
    }

private:
    /// Means over all nodes but the last, which is replaced meanwhile. The counters are refreshed once per second.
    template <typename Work> control_rates measure(Work work)
    {
        const auto counted = std::max<std::size_t>(1, m_fleet.nodeCount() - 1);
        std::vector<node_counters> before;
        std::vector<clock::time_point> readAt;
        for (std::size_t i = 0; i < counted; ++i) {
            before.push_back(countersOf(m_fleet.node(i)));
            readAt.push_back(clock::now());
        }
        work();
        control_rates result;
        for (std::size_t i = 0; i < counted; ++i) {
            const auto after = countersOf(m_fleet.node(i));
            const auto seconds = std::chrono::duration<double>(clock::now() - readAt[i]).count();
            const auto weight = 1 / static_cast<double>(counted);
            result.seconds += weight * seconds;
            result.bytesPerSecond += weight * (sumOf(after.bytes) - sumOf(before[i].bytes)) / seconds;
            for (const auto& [kind, value] : after.bytes)
                result.bytesByKind[kind] += weight * (value - before[i].bytes[kind]) / seconds;
            result.messagesPerSecond += weight * (after.messages - before[i].messages) / seconds;
            result.cpuPercent += weight * 100 * (after.cpuSeconds - before[i].cpuSeconds) / seconds;
            result.megabytes += weight * after.residentBytes / 1e6;
        }
        return result;
    }

    bench_fleet m_fleet;
    std::size_t m_configuration = 0;
};

/// Changes at the rate of a peak hour, plus the cost of a failure above idle at its rate.
control_rates peakHour(const control_rates& idle, control_rates changing, const control_rates& failure)
{
    const auto share = failure.seconds * failuresPerSecond;
    changing.bytesPerSecond += share * std::max(0.0, failure.bytesPerSecond - idle.bytesPerSecond);
    changing.messagesPerSecond += share * std::max(0.0, failure.messagesPerSecond - idle.messagesPerSecond);
    changing.cpuPercent += share * std::max(0.0, failure.cpuPercent - idle.cpuPercent);
    changing.bytesByKind.clear();
    return changing;
}

void printRow(std::size_t nodes, std::string_view state, const control_rates& rates)
{
    std::cout << std::fixed << std::setprecision(2) << "row nodes=" << nodes << " state=" << state
              << " bytes_per_s=" << rates.bytesPerSecond << " messages_per_s=" << rates.messagesPerSecond
              << " cpu_percent=" << rates.cpuPercent << " rss_mb=" << rates.megabytes;
    for (const auto& [kind, value] : rates.bytesByKind) {
        if (value >= 0.01 * rates.bytesPerSecond)
            std::cout << ' ' << kind << '=' << value;
    }
    std::cout << std::endl;
}

/// Prints the trend of one figure and returns whether its extrapolation meets the target.
bool printTrend(std::string_view name, std::string_view state, const linear_trend& trend, double target)
{
    const auto value = trend.at(targetNodes);
    const bool met = value <= target;
    std::cout << std::setprecision(4) << "trend state=" << state << " figure=" << name << " per_node=" << trend.slope
              << " at_750_nodes=" << value << " target=" << target << " met=" << (met ? 1 : 0) << std::endl;
    return met;
}

} // namespace

int runControlBench(const bench_options& options)
{
    requireEmpty(options.folder);
    std::vector<double> counts;
    std::vector<control_rates> idleRows;
    std::vector<control_rates> changingRows;
    std::vector<control_rates> peakRows;
    for (const auto nodes : options.nodes) {
        if (nodes > maxNodes)
            throw error(error_kind::limit_exceeded, std::to_string(nodes) + " nodes are too many for one machine",
                "use at most " + std::to_string(maxNodes));
        const auto stageFolder = options.folder + "/" + std::to_string(nodes);
        std::filesystem::create_directories(stageFolder);
        control_stage stage(options, stageFolder, nodes);
        idleRows.push_back(stage.idle());
        printRow(nodes, "idle", idleRows.back());
        changingRows.push_back(stage.changing());
        printRow(nodes, "changing", changingRows.back());
        const auto failure = stage.failure();
        printRow(nodes, "failure", failure);
        peakRows.push_back(peakHour(idleRows.back(), changingRows.back(), failure));
        printRow(nodes, "peak_hour", peakRows.back());
        counts.push_back(static_cast<double>(nodes));
        if (stage.residentBytes() > maxResidentBytes / 2) {
            std::cout << "stopped at nodes=" << nodes << ": twice as many would not fit the memory\n";
            break;
        }
    }

    bool met = true;
    const auto trends = [&](std::string_view state, const std::vector<control_rates>& rows) {
        // The line of the larger sizes, where two of them were measured.
        const auto large = std::ranges::find_if(counts, [](double nodes) { return nodes > fullMeshNodes; });
        const auto first = counts.end() - large >= 2 ? large - counts.begin() : 0;
        const std::vector<double> sizes(counts.begin() + first, counts.end());
        const auto trend = [&](auto field) {
            std::vector<double> values;
            std::transform(rows.begin() + first, rows.end(), std::back_inserter(values), [&](const auto& row) { return row.*field; });
            return fitTrend(sizes, values);
        };
        met = printTrend("bytes_per_s", state, trend(&control_rates::bytesPerSecond), targetBytes) && met;
        met = printTrend("cpu_percent", state, trend(&control_rates::cpuPercent), targetCpuPercent) && met;
        met = printTrend("rss_mb", state, trend(&control_rates::megabytes), targetMegabytes) && met;
    };
    trends("idle", idleRows);
    trends("peak_hour", peakRows);
    const auto& last = peakRows.back();
    std::cout << std::setprecision(2) << "control nodes=" << counts.back() << " bytes_per_s_per_node=" << last.bytesPerSecond
              << " cpu_percent=" << last.cpuPercent << " rss_mb=" << last.megabytes << " messages_per_s=" << last.messagesPerSecond
              << " targets_met_at_750=" << (met ? 1 : 0) << std::endl;
    return met ? 0 : 1;
}

} // namespace carawaylink::bench
