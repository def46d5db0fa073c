#include "placement/latency_model.h"

#include "base/time.h"

#include <algorithm>
#include <cmath>

namespace carawaylink::placement {

namespace {

// Weight of a new sample in the exponential moving averages.
constexpr double smoothingFactor = 0.15;
// The first samples replace the initial estimate faster.
constexpr std::uint32_t warmUpSamples = 4;
// The first samples scale all parameters alike, since endpoints of a service differ mostly by a constant factor.
constexpr double warmUpRate = 0.7;
constexpr double maxScale = 4;
constexpr double significantChange = 0.15;
// Maximum number of samples that count towards the weight of a node.
constexpr std::uint32_t maxWeightSamples = 10;
// Below this many tokens the time to the first event is dominated by the fixed part, above it by the prefill rate.
constexpr double largePromptTokens = 1500;
constexpr double minMsPerToken = 0.0005;
constexpr double maxMsPerToken = 1.0;
constexpr double minBaseMs = 2;
constexpr double maxBaseMs = 2000;

duration fromMilliseconds(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(value));
}

} // namespace

endpoint_speed combine(const endpoint_speed& first, const std::vector<endpoint_speed>& others)
{
    endpoint_speed sum { 0, 0, 0, 0 };
    double weights = 0;
    const auto add = [&](const endpoint_speed& speed) {
        const double weight = std::min(speed.samples, maxWeightSamples);
        sum.baseMs += weight * speed.baseMs;
        sum.msPerToken += weight * speed.msPerToken;
        sum.msPerEvent += weight * speed.msPerEvent;
        sum.samples += speed.samples;
        weights += weight;
    };
    add(first);
    std::ranges::for_each(others, add);
    if (weights == 0)
        return first;
    return { sum.baseMs / weights, sum.msPerToken / weights, sum.msPerEvent / weights, sum.samples };
}

bool differsSignificantly(const endpoint_speed& one, const endpoint_speed& other)
{
    const auto differs = [](double first, double second) { return std::abs(first - second) > significantChange * std::max(first, second); };
    return differs(one.baseMs, other.baseMs) || differs(one.msPerToken, other.msPerToken) || differs(one.msPerEvent, other.msPerEvent)
        || (one.samples > 0) != (other.samples > 0);
}

endpoint_speed meanSpeed(const std::vector<endpoint_speed>& speeds)
{
    std::vector<endpoint_speed> weighted = speeds;
    for (auto& speed : weighted)
        speed.samples = 1;
    return combine({}, weighted);
}

duration latency_model::timeToFirstEvent(tokens queuedTokens, tokens prompt) const
{
    return fromMilliseconds(m_combined.baseMs + m_combined.msPerToken * static_cast<double>(queuedTokens.value + prompt.value));
}

duration latency_model::timeToStream(double events) const
{
    return fromMilliseconds(m_combined.msPerEvent * events);
}

duration latency_model::prefillTime(tokens prompt) const
{
    return fromMilliseconds(m_combined.msPerToken * static_cast<double>(prompt.value));
}

double latency_model::prefilledTokens(duration elapsed) const
{
    return std::max(inMilliseconds(elapsed) - m_combined.baseMs, 0.0) / m_combined.msPerToken;
}

void latency_model::recordFirstEvent(tokens queuedTokens, tokens prompt, duration elapsed)
{
    const double totalTokens = static_cast<double>(queuedTokens.value + prompt.value);
    const double elapsedMs = inMilliseconds(elapsed);
    if (m_own.samples++ < warmUpSamples) {
        scaleBy(elapsedMs / (m_own.baseMs + m_own.msPerToken * totalTokens));
    } else if (totalTokens > largePromptTokens) {
        const double sample = std::clamp((elapsedMs - m_own.baseMs) / totalTokens, minMsPerToken, maxMsPerToken);
        m_own.msPerToken += smoothingFactor * (sample - m_own.msPerToken);
    } else {
        const double sample = std::clamp(elapsedMs - m_own.msPerToken * totalTokens, minBaseMs, maxBaseMs);
        m_own.baseMs += smoothingFactor * (sample - m_own.baseMs);
    }
    updateCombined();
}

void latency_model::scaleBy(double ratio)
{
    const double scale = std::pow(std::clamp(ratio, 1 / maxScale, maxScale), warmUpRate);
    m_own.baseMs = std::clamp(m_own.baseMs * scale, minBaseMs, maxBaseMs);
    m_own.msPerToken = std::clamp(m_own.msPerToken * scale, minMsPerToken, maxMsPerToken);
    if (m_eventSamples == 0)
        m_own.msPerEvent *= scale;
}

void latency_model::recordEvents(std::size_t events, duration elapsed)
{
    if (events == 0)
        return;
    const double rate = std::max(smoothingFactor, 1.0 / ++m_eventSamples);
    m_own.msPerEvent += rate * (inMilliseconds(elapsed) / static_cast<double>(events) - m_own.msPerEvent);
    updateCombined();
}

void latency_model::setInitialEstimate(const endpoint_speed& estimate)
{
    m_own = estimate;
    m_own.samples = 0;
    updateCombined();
}

void latency_model::setReported(const endpoint_speed& speed)
{
    m_reported = speed;
    updateCombined();
}

void latency_model::updateCombined()
{
    m_combined = m_reported ? combine(m_own, { *m_reported }) : m_own;
}

} // namespace carawaylink::placement
