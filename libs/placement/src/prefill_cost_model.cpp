#include "placement/prefill_cost_model.h"

#include <algorithm>
#include <cmath>

namespace carawaylink::placement {

namespace {

// The growth is too small to measure on shorter prompts.
constexpr std::int64_t minSampleTokens = 12000;
// Common chunk size of engines with chunked prefill.
constexpr double chunkTokens = 2048;
constexpr double smoothingFactor = 0.05;
// The mean time per token doubles at 4,000 tokens at the earliest.
constexpr double maxGrowthPerToken = 1.0 / 4000;

} // namespace

tokens prefill_cost_model::work(tokens prompt) const
{
    const auto length = static_cast<double>(prompt.value);
    return tokens { std::llround(length * (1 + m_growthPerToken * length)) };
}

tokens prefill_cost_model::lastChunkWork(tokens prompt) const
{
    const auto length = static_cast<double>(prompt.value);
    return tokens { std::llround(std::min(length, chunkTokens) * (1 + 2 * m_growthPerToken * length)) };
}

void prefill_cost_model::recordSample(tokens prompt, double work)
{
    if (prompt.value < minSampleTokens)
        return;
    const auto length = static_cast<double>(prompt.value);
    const double sample = std::clamp((work / length - 1) / length, 0.0, maxGrowthPerToken);
    m_growthPerToken += smoothingFactor * (sample - m_growthPerToken);
}

} // namespace carawaylink::placement
