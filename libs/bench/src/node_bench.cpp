#include "bench/benches.h"
#include "bench/cluster.h"
#include "http/io_threads.h"
#include "load/generator.h"
#include "load/metrics.h"
#include "load/replay.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdio>
#include <future>
#include <iostream>
#include <numeric>
#include <thread>

namespace carawaylink::bench {

namespace {

constexpr double requestsPerSecond = 5000;
constexpr int tokensPerRequest = 20;
constexpr auto loadLength = std::chrono::seconds(10);
constexpr double probeShare = 0.1;
constexpr auto probeLength = std::chrono::seconds(10);
constexpr std::size_t engineCount = 16;

// Engines that answer at once, so that what is measured is the node.
const std::vector<std::string> instantEngine { "--speed", "1000", "--max-running", "2000", "--token-ms", "0", "--token-ms-per-sequence",
    "0", "--iteration-ms", "0", "--prefill-rate", "100000000" };

/// Open-loop latency of short completions, half of them through the node and half straight to an engine.
class latency_probe {
public:
    latency_probe(std::string node, std::vector<std::string> engines)
        : m_node(std::move(node))
        , m_engines(std::move(engines))
        , m_client(m_threads.context(0))
        , m_timer(m_threads.context(0))
    {
    }

    void run(double rate, std::chrono::seconds length)
    {
        m_interval = std::chrono::duration_cast<duration>(std::chrono::duration<double>(1 / rate));
        m_left = static_cast<std::size_t>(rate * static_cast<double>(length.count()));
        m_next = std::chrono::steady_clock::now();
        m_threads.post(0, [this] { sendNext(); });
        m_done.get_future().get();
    }

    std::vector<double> through;
    std::vector<double> direct;
    std::size_t failed = 0;

private:
    void sendNext()
    {
        while (m_left > 0 && std::chrono::steady_clock::now() >= m_next) {
            m_next += m_interval;
            --m_left;
            sendOne();
        }
        if (m_left == 0)
            return;
        m_timer.expires_at(m_next);
        m_timer.async_wait([this](boost::system::error_code status) {
            if (!status)
                sendNext();
        });
    }

    void sendOne()
    {
        const bool viaNode = ++m_sequence % 2 == 0;
        const auto target = viaNode ? m_node : m_engines[m_sequence / 2 % m_engines.size()];
        auto& latencies = viaNode ? through : direct;
        const auto start = std::chrono::steady_clock::now();
        ++m_open;
        const http_request request { "POST", "/v1/completions",
            { { "Authorization", "Bearer key-team-1" }, { "X-Request-Id", "probe-" + std::to_string(m_sequence) },
                { "Content-Type", "application/json" } },
            R"({"model":"llm","prompt":"one short question","max_tokens":)" + std::to_string(tokensPerRequest)
                + R"(,"stream":true,"user":"probe"})" };
        m_client.send(target, request, {}, [this, start, &latencies](const http_result& result) {
            if (result.ok() && result.response.status == 200)
                latencies.push_back(std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count());
            else
                ++failed;
            if (--m_open == 0 && m_left == 0)
                m_done.set_value();
        });
    }

    std::string m_node;
    std::vector<std::string> m_engines;
    io_threads m_threads { 1 };
    http_client m_client;
    boost::asio::steady_timer m_timer;
    duration m_interval {};
    monotonic_time m_next;
    std::size_t m_left = 0;
    std::size_t m_sequence = 0;
    std::size_t m_open = 0;
    std::promise<void> m_done;
};

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    return values[std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

load::load_metrics offerLoad(const cluster& fleet, std::uint64_t seed)
{
    load::generator_settings workload;
    workload.seed = seed;
    workload.duration = loadLength;
    workload.rate = requestsPerSecond;
    workload.teams = { { team_id("team-1"), 1 } };
    workload.classes = { { "short", 1, service_id("llm"), tier(0), 8, tokensPerRequest, 1, 0, std::chrono::seconds(2), 0 } };
    load::replay_settings replay;
    replay.entry = fleet.entryAddresses();
    replay.runId = "node";
    replay.threads = 3;
    const auto path = fleet.folder() + "/callers.jsonl";
    {
        load::history_writer writer(path);
        load::replayTrace(replay, load::generateTrace(workload), writer);
    }
    return load::measureLoad(load::history::read({ path }), {});
}

} // namespace

int runNodeBench(const bench_options& options)
{
    cluster fleet(options.binaries, options.folder);
    fleet.startPlatform({});
    std::vector<std::string> engines;
    for (std::size_t process = 0; process < 4; ++process) {
        auto addresses = fleet.startEngines({ "engine-" + std::to_string(process + 1), "llm", "zone-a", engineCount / 4, instantEngine });
        std::ranges::move(addresses, std::back_inserter(engines));
    }
    node_options nodeOptions { "node-1", "zone-a", "region-1", { "io_threads: 3" } };
    nodeOptions.writesHistory = false;
    auto& node = fleet.startNode(nodeOptions);
    fleet.publish(fleetYaml({ "team-1" }, { "llm" }));
    fleet.waitUntilReady(std::chrono::seconds(20));

    latency_probe probe(node.httpAddress, engines);
    // Twice the rate, since half of the requests go straight to an engine.
    probe.run(2 * requestsPerSecond * probeShare, probeLength);
    std::printf("probe at %.0f requests/s: %zu through the node, %zu direct, %zu failed\n", requestsPerSecond * probeShare,
        probe.through.size(), probe.direct.size(), probe.failed);
    for (const double share : { 0.5, 0.95, 0.99 })
        std::printf(
            "  p%.0f: through %.3f ms, direct %.3f ms\n", share * 100, quantile(probe.through, share), quantile(probe.direct, share));

    const auto before = node.process->usage();
    const auto start = std::chrono::steady_clock::now();
    const auto figures = offerLoad(fleet, options.seed);
    const auto seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    const auto after = node.process->usage();
    const double goodPerSecond = figures.perSecond(figures.total.good);
    std::printf("load: offered %.0f requests/s, good %.0f, late %lld, refused %lld, unknown %lld\n",
        figures.perSecond(figures.total.offered), goodPerSecond, static_cast<long long>(figures.total.late),
        static_cast<long long>(figures.total.refused), static_cast<long long>(figures.total.unknown));
    const auto added = [&](double share) { return quantile(probe.through, share) - quantile(probe.direct, share); };
    const auto total = [](const std::vector<double>& values) { return std::accumulate(values.begin(), values.end(), 0.0); };
    const double directRatio = probe.direct.empty() || probe.through.empty()
        ? 0
        : (total(probe.through) / static_cast<double>(probe.through.size()))
            / (total(probe.direct) / static_cast<double>(probe.direct.size()));
    std::printf("node requests_per_s=%.0f tokens_per_s=%.0f added_p50_ms=%.3f added_p95_ms=%.3f added_p99_ms=%.3f direct_ratio=%.2f "
                "cpu_cores=%.2f rss_mb=%.0f\n",
        goodPerSecond, goodPerSecond * tokensPerRequest, added(0.5), added(0.95), added(0.99), directRatio,
        (after.cpuSeconds - before.cpuSeconds) / seconds, static_cast<double>(after.residentBytes) / (1 << 20));
    return 0;
}

} // namespace carawaylink::bench
