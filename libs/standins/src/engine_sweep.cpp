#include "standins/engine_sweep.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace carawaylink {

namespace {

struct request_times {
    monotonic_time submitted;
    monotonic_time firstToken;
};

std::string makePrompt(const sweep_cell& cell, std::size_t request)
{
    const auto shared = std::llround(static_cast<double>(cell.promptTokens) * cell.prefixShare);
    std::string prompt;
    for (std::int64_t i = 0; i < cell.promptTokens; ++i) {
        const auto owner = i < shared ? "p" + std::to_string(request % cell.prefixes) : "r" + std::to_string(request);
        prompt.append(owner).append("w").append(std::to_string(i)).append(" ");
    }
    return prompt;
}

duration mean(const std::vector<duration>& values)
{
    if (values.empty())
        return {};
    return std::accumulate(values.begin(), values.end(), duration {}) / static_cast<std::int64_t>(values.size());
}

duration percentile(std::vector<duration> values, double share)
{
    if (values.empty())
        return {};
    std::ranges::sort(values);
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
    return values[std::clamp<std::size_t>(rank, 1, values.size()) - 1];
}

} // namespace

sweep_result runSweep(const sweep_cell& cell)
{
    const monotonic_time start {};
    engine_model model(cell.engine, start);
    auto now = start;
    sweep_result result;
    std::vector<request_times> times(cell.requests);
    std::vector<duration> firstTokens;
    std::vector<duration> perToken;
    std::int64_t output = 0;
    std::int64_t prompt = 0;
    std::int64_t cached = 0;
    std::size_t next = 0;
    const auto submitNext = [&] {
        while (next < cell.requests) {
            const auto request = next++;
            times[request].submitted = now;
            if (model.submit(now, { std::to_string(request), "", makePrompt(cell, request), cell.outputTokens }).execution)
                return;
            ++result.refused;
        }
    };
    for (std::size_t caller = 0; caller < cell.engine.maxRunning; ++caller)
        submitNext();
    while (const auto change = model.nextChange()) {
        now = std::max(now, *change);
        model.advance(now);
        for (const auto& event : model.takeEvents()) {
            if (event.kind == engine_event_kind::first_token) {
                auto& request = times[std::stoul(event.request)];
                request.firstToken = event.at;
                firstTokens.push_back(event.at - request.submitted);
            } else if (event.kind == engine_event_kind::finished) {
                if (event.outputTokens > 1)
                    perToken.push_back((event.at - times[std::stoul(event.request)].firstToken) / (event.outputTokens - 1));
                output += event.outputTokens;
                prompt += event.promptTokens;
                cached += event.cachedTokens;
                submitNext();
            }
        }
    }
    result.firstTokenMean = mean(firstTokens);
    result.firstTokenP95 = percentile(firstTokens, 0.95);
    result.timePerToken = mean(perToken);
    const std::chrono::duration<double> elapsed = now - start;
    result.outputTokensPerSecond = elapsed.count() > 0 ? static_cast<double>(output) / elapsed.count() : 0;
    result.cacheHitShare = prompt > 0 ? static_cast<double>(cached) / static_cast<double>(prompt) : 0;
    return result;
}

} // namespace carawaylink
