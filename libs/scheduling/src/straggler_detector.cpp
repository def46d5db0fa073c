#include "straggler_detector.h"

#include <algorithm>
#include <limits>
#include <map>

namespace carawaylink {

namespace {

constexpr std::size_t slowWindowsToEject = 3;
constexpr std::size_t passedProbesToReadmit = 2;
/// A window without output counts only from this much stream time on, since one late progress report covers half a second.
constexpr double minStreamSeconds = 1.0;
/// With fewer tokens, the time per token of a window is dominated by rounding.
constexpr double minWindowTokens = 8;

/// Observed time per token relative to the model of the generation at the same concurrency; nullopt for too little data.
std::optional<double> relativeTimePerToken(const endpoint_state& endpoint)
{
    const auto& window = endpoint.window;
    if (window.tokens < minWindowTokens) {
        if (window.streamSeconds < minStreamSeconds)
            return std::nullopt;
        return window.tokens > 0 ? window.streamSeconds / window.tokens / endpoint.generation->speed.outputToken.at(endpoint.running)
                                 : std::numeric_limits<double>::infinity();
    }
    const double concurrency = window.concurrencySeconds / window.streamSeconds;
    return window.streamSeconds / window.tokens / endpoint.generation->speed.outputToken.at(concurrency);
}

} // namespace

void straggler_detector::addSample(endpoint_state& endpoint, double outputTokens, double seconds)
{
    endpoint.window.tokens += outputTokens;
    endpoint.window.streamSeconds += seconds;
    endpoint.window.concurrencySeconds += seconds * static_cast<double>(endpoint.running);
}

bool straggler_detector::tick(monotonic_time now, std::span<const std::unique_ptr<endpoint_state>> endpoints)
{
    if (m_windowEnd == monotonic_time {})
        m_windowEnd = now + windowLength;
    if (now < m_windowEnd)
        return false;
    m_windowEnd = now + windowLength;

    std::map<generation_record*, std::vector<double>> relativeTimes;
    for (const auto& endpoint : endpoints) {
        if (const auto relativeTime = relativeTimePerToken(*endpoint); relativeTime && !endpoint->ejected)
            relativeTimes[endpoint->generation].push_back(*relativeTime);
    }
    for (auto& [generation, values] : relativeTimes) {
        // The lower median, so that of two endpoints the faster one is the reference.
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
        std::ranges::nth_element(values, middle);
        generation->medianRelativeTime = *middle;
    }
    bool changed = false;
    for (const auto& endpoint : endpoints) {
        const auto relativeTime = relativeTimePerToken(*endpoint);
        endpoint->window = {};
        if (!relativeTime || endpoint->ejected)
            continue;
        const bool slow
            = relativeTimes[endpoint->generation].size() > 1 && *relativeTime > m_factor * endpoint->generation->medianRelativeTime;
        endpoint->slowWindows = slow ? endpoint->slowWindows + 1 : 0;
        if (endpoint->slowWindows < slowWindowsToEject)
            continue;
        endpoint->ejected = true;
        endpoint->slowWindows = 0;
        endpoint->passedProbes = 0;
        endpoint->nextProbe = now + probeInterval;
        changed = true;
    }
    return changed;
}

bool straggler_detector::evaluateProbe(monotonic_time now, endpoint_state& endpoint, double ratio) const
{
    endpoint.nextProbe = now + probeInterval;
    const double median = endpoint.generation->medianRelativeTime > 0 ? endpoint.generation->medianRelativeTime : 1;
    endpoint.passedProbes = ratio <= m_factor * median ? endpoint.passedProbes + 1 : 0;
    if (endpoint.passedProbes < passedProbesToReadmit)
        return false;
    endpoint.ejected = false;
    endpoint.passedProbes = 0;
    endpoint.slowWindows = 0;
    endpoint.window = {};
    return true;
}

} // namespace carawaylink
