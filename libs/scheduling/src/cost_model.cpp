#include "cost_model.h"

#include <algorithm>
#include <cmath>

namespace carawaylink {

namespace {

// Neutral priors in the range of a mid-range accelerator: 5,000 prompt tokens/s and 30 ms per output token. They only order requests
// until the first samples arrive; no request is refused because of them.
constexpr linear_fit::line firstTokenPrior { 0.02, 0.0002 };
constexpr linear_fit::line outputTokenPrior { 0.03, 0.0006 };

/// An effective window of about 33 samples: enough variation in prompt length for a slope, while a change of speed shows within seconds.
constexpr double speedDecay = 0.97;
constexpr double minModelSamples = 2;
/// After this time without samples, estimates are no longer used to refuse requests. Otherwise a pool that refused every request during a
/// temporary slowdown would never measure its current speed again.
constexpr duration sampleLifetime = std::chrono::seconds(10);
/// Used before the first sample: half of the maximum is within a factor of two for most requests.
constexpr double outputSharePrior = 0.5;
constexpr double outputShareDecay = 0.97;
/// Number of team samples that weigh as much as the mean of the whole service.
constexpr double serviceSampleWeight = 4;

} // namespace

speed_model::speed_model()
    : firstToken(firstTokenPrior, speedDecay)
    , outputToken(outputTokenPrior, speedDecay)
{
}

void speed_models::addFirstToken(monotonic_time now, double uncachedTokens, double seconds) const
{
    for (auto* model : { endpoint, generation, pool }) {
        model->firstToken.add(uncachedTokens, seconds);
        model->lastSample = now;
    }
}

void speed_models::addOutputToken(monotonic_time now, double concurrency, double secondsPerToken) const
{
    for (auto* model : { endpoint, generation, pool }) {
        model->outputToken.add(concurrency, secondsPerToken);
        model->lastSample = now;
    }
}

double speed_models::firstTokenSeconds(double uncachedTokens) const
{
    return firstTokenFit().at(uncachedTokens);
}

double speed_models::secondsPerToken(double concurrency) const
{
    return outputTokenFit().at(concurrency);
}

double speed_models::prefillTokensPerSecond() const
{
    return 1 / std::max(1e-9, firstTokenFit().slope());
}

bool speed_models::learned(monotonic_time now) const
{
    return pool->lastSample != monotonic_time {} && now - pool->lastSample < sampleLifetime && firstTokenFit().samples() >= minModelSamples;
}

const linear_fit& speed_models::firstTokenFit() const
{
    if (endpoint->firstToken.samples() >= minModelSamples)
        return endpoint->firstToken;
    return generation->firstToken.samples() >= minModelSamples ? generation->firstToken : pool->firstToken;
}

const linear_fit& speed_models::outputTokenFit() const
{
    if (endpoint->outputToken.samples() >= minModelSamples)
        return endpoint->outputToken;
    return generation->outputToken.samples() >= minModelSamples ? generation->outputToken : pool->outputToken;
}

recent_mean::recent_mean(double prior, double priorDeviation, double decay)
    : m_mean(prior)
    , m_deviation(priorDeviation)
    , m_decay(decay)
{
}

void recent_mean::add(double value)
{
    m_weight = m_weight * m_decay + 1;
    const double distance = std::abs(value - m_mean);
    m_mean += (value - m_mean) / m_weight;
    // The first distance is measured from the prior and says nothing about the spread of the values.
    if (m_weight > 1)
        m_deviation += (distance - m_deviation) / m_weight;
}

output_shares::output_shares()
    : m_shares { recent_mean(outputSharePrior, 0.25, outputShareDecay), recent_mean(outputSharePrior, 0.25, outputShareDecay),
        recent_mean(outputSharePrior, 0.25, outputShareDecay), recent_mean(outputSharePrior, 0.25, outputShareDecay) }
{
}

void output_shares::add(std::int64_t maximum, std::int64_t used)
{
    if (maximum > 0)
        m_shares[sizeClass(maximum)].add(std::clamp(static_cast<double>(used) / static_cast<double>(maximum), 0.0, 1.0));
}

const recent_mean& output_shares::forMaximum(std::int64_t maximum) const
{
    return m_shares[sizeClass(maximum)];
}

std::size_t output_shares::sizeClass(std::int64_t maximum)
{
    return maximum < 64 ? 0 : maximum < 512 ? 1 : maximum < 4096 ? 2 : 3;
}

double expectedOutput(const output_shares& team, const output_shares& service, std::int64_t maximum)
{
    const auto& own = team.forMaximum(maximum);
    const double weight = own.samples() / (own.samples() + serviceSampleWeight);
    const double share = weight * own.mean() + (1 - weight) * service.forMaximum(maximum).mean();
    return std::max(1.0, share * static_cast<double>(maximum));
}

} // namespace carawaylink
