#include "straggler_detector.h"

#include <algorithm>
#include <limits>
#include <map>

namespace carawaylink {

namespace {

constexpr std::size_t badWindowsToEject = 3;
constexpr std::size_t goodProbesToReturn = 2;
/// Stream time below which a window without output says nothing; one late progress batch covers half a second.
constexpr double leastStreamSeconds = 1.0;
/// Tokens below which the pace of a window is mostly rounding.
constexpr double leastTokens = 8;

/// Observed time per token as a multiple of what the generation needs at the same concurrency; nothing for too little output.
std::optional<double> relativePace(const endpoint_record& endpoint)
{
    const auto& window = endpoint.window;
    if (window.tokens < leastTokens) {
        if (window.streamSeconds < leastStreamSeconds)
            return std::nullopt;
        return window.tokens > 0 ? window.streamSeconds / window.tokens / endpoint.generation->speed.outputToken.at(endpoint.running)
                                 : std::numeric_limits<double>::infinity();
    }
    const double concurrency = window.concurrencySeconds / window.streamSeconds;
    return window.streamSeconds / window.tokens / endpoint.generation->speed.outputToken.at(concurrency);
}

} // namespace

void straggler_detector::count(endpoint_record& endpoint, double outputTokens, double seconds)
{
    endpoint.window.tokens += outputTokens;
    endpoint.window.streamSeconds += seconds;
    endpoint.window.concurrencySeconds += seconds * static_cast<double>(endpoint.running);
}

bool straggler_detector::tick(monotonic_time now, std::span<const std::unique_ptr<endpoint_record>> endpoints)
{
    if (m_windowEnd == monotonic_time {})
        m_windowEnd = now + windowLength;
    if (now < m_windowEnd)
        return false;
    m_windowEnd = now + windowLength;

    std::map<generation_record*, std::vector<double>> paces;
    for (const auto& endpoint : endpoints) {
        if (const auto pace = relativePace(*endpoint); pace && !endpoint->ejected)
            paces[endpoint->generation].push_back(*pace);
    }
    for (auto& [generation, values] : paces) {
        // The lower median, so that of two endpoints the faster one is the yardstick.
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
        std::ranges::nth_element(values, middle);
        generation->medianPace = *middle;
    }
    bool changed = false;
    for (const auto& endpoint : endpoints) {
        const auto pace = relativePace(*endpoint);
        endpoint->window = {};
        if (!pace || endpoint->ejected)
            continue;
        const bool slow = paces[endpoint->generation].size() > 1 && *pace > m_factor * endpoint->generation->medianPace;
        endpoint->badWindows = slow ? endpoint->badWindows + 1 : 0;
        if (endpoint->badWindows < badWindowsToEject)
            continue;
        endpoint->ejected = true;
        endpoint->badWindows = 0;
        endpoint->goodProbes = 0;
        endpoint->nextProbe = now + probeInterval;
        changed = true;
    }
    return changed;
}

bool straggler_detector::judgeProbe(monotonic_time now, endpoint_record& endpoint, double ratio) const
{
    endpoint.nextProbe = now + probeInterval;
    const double median = endpoint.generation->medianPace > 0 ? endpoint.generation->medianPace : 1;
    endpoint.goodProbes = ratio <= m_factor * median ? endpoint.goodProbes + 1 : 0;
    if (endpoint.goodProbes < goodProbesToReturn)
        return false;
    endpoint.ejected = false;
    endpoint.goodProbes = 0;
    endpoint.badWindows = 0;
    endpoint.window = {};
    return true;
}

} // namespace carawaylink
