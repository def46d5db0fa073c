#include "bench/benches.h"
#include "bench/cluster.h"
#include "load/checker.h"
#include "load/generator.h"
#include "load/metrics.h"
#include "load/replay.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cstdio>
#include <filesystem>
#include <future>
#include <iostream>
#include <map>
#include <numeric>
#include <thread>

namespace carawaylink::bench {

namespace json = boost::json;

namespace {

// Engines of carawaylink-engine with their default rates and this batch size.
constexpr std::size_t maxRunning = 8;
// Less than running requests and all shared prefixes need together, so that it matters where a prompt goes.
constexpr std::size_t cacheTokens = 24000;
constexpr double prefillTokensPerSecond = 8000;
constexpr double iterationMilliseconds = 15 + 0.25 * maxRunning;
constexpr double outputTokensPerSecond = maxRunning * 1000 / iterationMilliseconds;
// Share of a prompt that the trace's shared prefix covers, once it is cached.
constexpr double sharedPromptShare = 0.6;
constexpr double stragglerFactor = 4;
// Long against the deadlines: a backlog that a short trace leaves would still be served in time after its end.
constexpr auto traceLength = std::chrono::seconds(30);

struct engine_kind {
    const char* name;
    const char* generation;
    double speed;
    std::size_t count;
};

constexpr std::array<engine_kind, 3> engineKinds { { { "fast", "g3", 4, 2 }, { "medium", "g2", 2, 3 }, { "slow", "g1", 1, 2 } } };
constexpr std::array<const char*, 4> policies { "pool", "round_robin", "least_load", "power_of_two" };

// Engine seconds that the engines deliver each second, at speed 1; one medium engine is the straggler.
double capacity()
{
    const double all = std::accumulate(engineKinds.begin(), engineKinds.end(), 0.0,
        [](double sum, const engine_kind& kind) { return sum + kind.speed * static_cast<double>(kind.count); });
    const double straggler = engineKinds[1].speed;
    return all - straggler + straggler / stragglerFactor;
}

double work(const load::trace_call& call)
{
    const double uncached = call.prefix.empty() ? 1 : 1 - sharedPromptShare;
    return uncached * static_cast<double>(call.prompt.value) / prefillTokensPerSecond
        + static_cast<double>(call.output.value) / outputTokensPerSecond;
}

load::generator_settings workload(std::uint64_t seed)
{
    load::generator_settings settings;
    settings.seed = seed;
    settings.duration = traceLength;
    settings.rate = 50;
    // Teams with equal weights that offer unequal loads.
    settings.teams = { { team_id("team-1"), 8 }, { team_id("team-2"), 5 }, { team_id("team-3"), 3 }, { team_id("team-4"), 2 },
        { team_id("team-5"), 2 } };
    const service_id service("llm");
    const auto seconds = [](int count) { return std::chrono::milliseconds(1000 * count); };
    settings.classes = {
        { "question", 25, service, tier(0), 250, 25, 20, 60, seconds(3), 0 },
        { "reminder", 25, service, tier(1), 100, 20, 4, 0, seconds(4), 0 },
        { "plan", 35, service, tier(2), 900, 80, 100, 40, seconds(10), 0 },
        { "tag", 15, service, tier(3), 150, 15, 4, 0, seconds(5), 0 },
    };
    return settings;
}

// The same calls with arrivals moved so that the offered work is the wanted share of capacity.
std::vector<load::trace_call> traceFor(std::uint64_t seed, double offeredLoad)
{
    auto settings = workload(seed);
    const auto sample = load::generateTrace(settings);
    const double mean = std::accumulate(sample.begin(), sample.end(), 0.0, [](double sum, const load::trace_call& call) {
        return sum + work(call);
    }) / static_cast<double>(sample.size());
    settings.rate = offeredLoad * capacity() / mean;
    return load::generateTrace(settings);
}

struct run_result {
    double tierZeroShare = 0;
    double goodPerSecond = 0;
    double wastedShare = 0;
    double unfinishedShare = 0;
    double jain = 0;
    double inversions = 0;
    std::array<double, 4> tierShares {};
};

run_result runPolicy(
    const bench_options& options, const std::string& folder, const std::string& policy, std::uint64_t seed, double offeredLoad)
{
    std::filesystem::create_directories(folder);
    cluster fleet(options.binaries, folder);
    fleet.startPlatform({});
    std::string straggler;
    for (const auto& kind : engineKinds) {
        const auto addresses = fleet.startEngines({ kind.name, "llm", "zone-a", kind.count,
            { "--generation", kind.generation, "--speed", std::to_string(kind.speed), "--max-running", std::to_string(maxRunning),
                "--cache-tokens", std::to_string(cacheTokens) } });
        for (const auto& address : addresses)
            fleet.setFaults(address, R"({"report_lag_ms":500,"event_delay_ms":300,"event_gap_share":0.05})");
        if (kind.name == std::string("medium"))
            straggler = addresses.back();
    }
    for (int i = 1; i <= 4; ++i)
        fleet.startNode({ "node-" + std::to_string(i), "zone-" + std::string(1, static_cast<char>('a' + (i - 1) % 3)), "region-1",
            { "policy: " + policy } });
    fleet.publish(fleetYaml({ "team-1", "team-2", "team-3", "team-4", "team-5" }, { "llm" }));
    if (policy == "pool")
        fleet.waitUntilReady(std::chrono::seconds(20));
    else
        std::this_thread::sleep_for(std::chrono::seconds(3));
    fleet.setFaults(straggler, json::serialize(json::object { { "slow_factor", stragglerFactor } }));

    load::replay_settings replay;
    replay.entry = fleet.entryAddresses();
    replay.runId = policy;
    replay.threads = 1;
    replay.patience = std::chrono::milliseconds(1000);
    replay.drainLimit = std::chrono::milliseconds(30000);
    load::history_writer writer(folder + "/callers.jsonl");
    load::replayTrace(replay, traceFor(seed, offeredLoad), writer);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));

    run_result result;
    for (const auto& node : fleet.nodes()) {
        const auto page = fleet.status(*node);
        for (const auto& pool : page.at("pools").as_array())
            result.inversions += pool.at("inversions").to_number<double>();
    }
    const auto merged = load::history::read(fleet.histories());
    const auto figures = load::measureLoad(merged, {});
    for (const auto& [level, group] : figures.tiers) {
        if (level >= 0 && static_cast<std::size_t>(level) < result.tierShares.size())
            result.tierShares[static_cast<std::size_t>(level)] = group.share(group.good);
    }
    result.tierZeroShare = result.tierShares[0];
    result.goodPerSecond = figures.perSecond(figures.total.good);
    result.wastedShare = figures.total.wastedPrefillShare().value_or(0);
    if (figures.total.prefillComputed > 0)
        result.unfinishedShare = static_cast<double>(figures.total.prefillUnfinished) / static_cast<double>(figures.total.prefillComputed);
    result.jain = figures.jain ? figures.jain->index : 0;
    return result;
}

double median(std::vector<double> values)
{
    std::ranges::sort(values);
    return values.empty() ? 0 : values[values.size() / 2];
}

template <typename Projection> double medianOf(const std::vector<run_result>& results, Projection projection)
{
    std::vector<double> values;
    std::ranges::transform(results, std::back_inserter(values), projection);
    return median(std::move(values));
}

double ratio(double value, double base)
{
    return base > 0 ? value / base : 0;
}

using policy_results = std::map<std::string, std::vector<run_result>>;

policy_results runLoad(const bench_options& options, const std::string& folder, double offeredLoad)
{
    policy_results results;
    for (std::uint64_t seed = options.seed; seed < options.seed + options.seeds; ++seed) {
        // The policies run side by side on the same trace, each with engines and nodes of its own.
        std::map<std::string, std::future<run_result>> running;
        for (const std::string policy : policies) {
            const auto path = folder + "/" + policy + "-" + std::to_string(seed) + "-" + std::to_string(offeredLoad);
            running[policy] = std::async(std::launch::async,
                [&options, path, policy, seed, offeredLoad] { return runPolicy(options, path, policy, seed, offeredLoad); });
        }
        for (auto& [policy, future] : running)
            results[policy].push_back(future.get());
    }
    return results;
}

void printTable(double offeredLoad, const policy_results& results)
{
    std::printf("load %.1f, median of %zu seeds\n", offeredLoad, results.begin()->second.size());
    std::printf("  %-14s %8s %8s %8s %8s %12s %10s %8s %10s\n", "policy", "tier 0", "tier 1", "tier 2", "tier 3", "goodput/s", "wasted",
        "jain", "inversions");
    for (const std::string policy : policies) {
        const auto& runs = results.at(policy);
        std::printf("  %-14s", policy.c_str());
        for (std::size_t level = 0; level < 4; ++level)
            std::printf(" %8.3f", medianOf(runs, [level](const run_result& run) { return run.tierShares[level]; }));
        std::printf(" %12.1f %10.4f %10.4f %8.3f %10.0f\n", medianOf(runs, [](const run_result& run) { return run.goodPerSecond; }),
            medianOf(runs, [](const run_result& run) { return run.wastedShare; }),
            medianOf(runs, [](const run_result& run) { return run.unfinishedShare; }),
            medianOf(runs, [](const run_result& run) { return run.jain; }),
            medianOf(runs, [](const run_result& run) { return run.inversions; }));
    }
    std::fflush(stdout);
}

} // namespace

int runSchedulingBench(const bench_options& options)
{
    constexpr double reportedLoad = 1.3;
    std::string line;
    for (const double offeredLoad : options.loads) {
        const auto results = runLoad(options, options.folder, offeredLoad);
        printTable(offeredLoad, results);
        if (offeredLoad != reportedLoad)
            continue;
        const auto& pool = results.at("pool");
        const auto& roundRobin = results.at("round_robin");
        const auto& twoChoices = results.at("power_of_two");
        const auto tierZero = [](const run_result& run) { return run.tierZeroShare; };
        const auto good = [](const run_result& run) { return run.goodPerSecond; };
        const auto wasted = [](const run_result& run) { return run.wastedShare; };
        std::array<char, 512> text {};
        std::snprintf(text.data(), text.size(),
            "scheduling load=%.1f tier0_goodput_share=%.4f tier0_goodput_vs_rr=%.3f tier0_goodput_vs_p2c=%.3f total_goodput_vs_p2c=%.3f "
            "wasted_prefill_share=%.4f wasted_prefill_vs_p2c=%.3f fairness_jain=%.4f inversions=%.0f",
            offeredLoad, medianOf(pool, tierZero), ratio(medianOf(pool, tierZero), medianOf(roundRobin, tierZero)),
            ratio(medianOf(pool, tierZero), medianOf(twoChoices, tierZero)), ratio(medianOf(pool, good), medianOf(twoChoices, good)),
            medianOf(pool, wasted), ratio(medianOf(pool, wasted), medianOf(twoChoices, wasted)),
            medianOf(pool, [](const run_result& run) { return run.jain; }),
            std::accumulate(pool.begin(), pool.end(), 0.0, [](double sum, const run_result& run) { return sum + run.inversions; }));
        line = text.data();
    }
    std::cout << line << std::endl;
    return 0;
}

} // namespace carawaylink::bench
