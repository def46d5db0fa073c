#pragma once

#include "base/prompt_blocks.h"
#include "base/random.h"
#include "scheduling/pool_scheduler.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

namespace carawaylink {

using namespace std::chrono_literals;

inline const monotonic_time testStart { std::chrono::hours(1) };

/// Speed of a simulated engine.
struct engine_speed {
    double prefillTokensPerSecond = 8000;
    double secondsPerToken = 0.01;
    /// Increase per additional running stream, as a share of secondsPerToken.
    double slowdown = 0.02;
};

struct request_result {
    int grants = 0;
    int refusals = 0;
    int preemptions = 0;
    bool cancelled = false;
    bool completed = false;
    std::optional<refusal_reason> reason;
    endpoint_id endpoint;
    monotonic_time granted {};
    monotonic_time finished {};
    scheduling_request request;
    std::int64_t outputTokens = 0;
    std::int64_t prefilled = 0;
    bool running = false;
};

/// Runs a pool_scheduler with simulated engines on a simulated clock and records the result of each request.
class pool_driver {
public:
    explicit pool_driver(pool_scheduler_settings settings = {})
        : pool(settings)
    {
    }

    void addEndpoint(const std::string& name, std::size_t maxRunning, engine_speed speed = {}, const std::string& generation = "g1")
    {
        descriptions.push_back({ endpoint_id(name), generation, failure_domain("a"), maxRunning, tokens(1 << 20) });
        engines[endpoint_id(name)].speed = speed;
        apply(pool.setEndpoints(now, descriptions));
    }

    scheduling_request make(const std::string& team, int level, std::int64_t prompt, std::int64_t output, duration deadline = 60s)
    {
        scheduling_request request;
        request.id = { 7, ++sequence };
        request.home = node_id("home-1:1");
        request.team = team_id(team);
        request.level = tier(static_cast<std::uint8_t>(level));
        request.promptTokens = tokens(prompt);
        request.maxOutputTokens = tokens(output);
        request.arrival = now;
        request.deadline = now + deadline;
        return request;
    }

    request_id submit(const scheduling_request& request, std::int64_t actualOutput = 0)
    {
        auto& result = results[request.id];
        result.request = request;
        result.outputTokens = actualOutput > 0 ? actualOutput : request.maxOutputTokens.value;
        apply(pool.submit(now, request));
        return request.id;
    }

    void cancel(const request_id& id)
    {
        auto& result = results[id];
        const bool waits = result.grants == 0 && result.refusals == 0 && !result.cancelled;
        pool.cancel(now, id);
        result.cancelled = result.cancelled || waits;
    }

    void release(const request_id& id, release_outcome outcome)
    {
        auto& result = results[id];
        auto& target = engines[result.endpoint];
        slot_release report { id, outcome, result.request.promptTokens, tokens(0), tokens(0), {}, now - result.granted, false };
        if (outcome == release_outcome::completed || now >= result.granted + firstToken[id]) {
            report.cachedTokens = tokens(result.request.promptTokens.value - result.prefilled);
            report.timeToFirstToken = firstToken[id];
            report.outputTokens = tokens(outcome == release_outcome::completed ? result.outputTokens : 1);
        }
        result.completed = outcome == release_outcome::completed;
        result.finished = now;
        result.running = false;
        runningIds.erase(id);
        --target.running;
        apply(pool.release(now, report));
    }

    /// Advances the clock: finishes streams, reports progress every 500 ms and calls tick() every 50 ms.
    void run(duration length)
    {
        const auto end = now + length;
        while (now < end) {
            const auto nextTick = std::min(end, lastTick + 50ms);
            if (!finishes.empty() && finishes.begin()->first <= nextTick) {
                const auto [time, id] = *finishes.begin();
                finishes.erase(finishes.begin());
                now = std::max(now, time);
                if (auto& result = results[id]; result.running)
                    release(id, result.preemptions > 0 ? release_outcome::cancelled : release_outcome::completed);
                continue;
            }
            now = nextTick;
            if (now < lastTick + 50ms)
                continue;
            lastTick = now;
            if (now >= lastProgress + 500ms)
                reportProgress();
            apply(pool.tick(now));
            if (onTick)
                onTick();
        }
    }

    std::size_t count(auto predicate) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(results, [&](const auto& entry) { return predicate(entry.second); }));
    }

    struct engine {
        engine_speed speed;
        std::size_t running = 0;
        std::size_t peakRunning = 0;
        std::unordered_set<std::uint64_t> cache;
    };

    pool_scheduler pool;
    monotonic_time now = testStart;
    std::map<request_id, request_result> results;
    std::map<endpoint_id, engine> engines;
    std::vector<endpoint_description> descriptions;
    std::function<void()> onTick;
    std::function<void(const request_result&)> onRefusal;
    /// Delay of the home node between a preemption and the release.
    duration preemptionDelay = 10ms;

private:
    void apply(const std::vector<scheduling_action>& actions)
    {
        for (const auto& action : actions)
            std::visit([this](const auto& value) { handle(value); }, action);
    }

    void handle(const slot_grant& grant)
    {
        auto& result = results[grant.request];
        auto& target = engines[grant.endpoint];
        ++result.grants;
        result.running = true;
        result.endpoint = grant.endpoint;
        result.granted = now;
        runningIds.insert(grant.request);
        ++target.running;
        target.peakRunning = std::max(target.peakRunning, target.running);
        std::int64_t cached = 0;
        for (const auto block : result.request.prefixBlocks) {
            if (!target.cache.insert(block).second)
                cached += tokensPerBlock;
        }
        result.prefilled = result.request.promptTokens.value - std::min(cached, result.request.promptTokens.value);
        const auto& speed = target.speed;
        const double first = 0.005 + static_cast<double>(result.prefilled) / speed.prefillTokensPerSecond;
        const double timePerToken = speed.secondsPerToken * (1 + speed.slowdown * static_cast<double>(target.running - 1));
        firstToken[grant.request] = seconds(first);
        timesPerToken[grant.request] = timePerToken;
        finishes.emplace(now + seconds(first + timePerToken * static_cast<double>(result.outputTokens - 1)), grant.request);
    }

    void handle(const slot_refusal& refusal)
    {
        auto& result = results[refusal.request];
        ++result.refusals;
        result.reason = refusal.reason;
        if (onRefusal)
            onRefusal(result);
    }

    void handle(const slot_preemption& preemption)
    {
        auto& result = results[preemption.request];
        ++result.preemptions;
        std::erase_if(finishes, [&](const auto& entry) { return entry.second == preemption.request; });
        finishes.emplace(now + preemptionDelay, preemption.request);
    }

    void reportProgress()
    {
        lastProgress = now;
        for (const auto& id : runningIds) {
            const auto& result = results[id];
            const auto first = result.granted + firstToken[id];
            std::int64_t output = 0;
            if (now >= first)
                output = std::min(result.outputTokens,
                    1 + static_cast<std::int64_t>(std::chrono::duration<double>(now - first).count() / timesPerToken[id]));
            pool.recordProgress(now, { id, tokens(output), output > 0 ? firstToken[id] : duration {} });
        }
    }

    static duration seconds(double value) { return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value)); }

    std::uint64_t sequence = 0;
    monotonic_time lastTick = testStart;
    monotonic_time lastProgress = testStart;
    std::multimap<monotonic_time, request_id> finishes;
    std::map<request_id, duration> firstToken;
    std::map<request_id, double> timesPerToken;
    std::set<request_id> runningIds;
};

} // namespace carawaylink
