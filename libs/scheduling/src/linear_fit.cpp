#include "linear_fit.h"

#include <algorithm>

namespace carawaylink {

namespace {

/// Weight of the prior slope, as a spread of x relative to its mean. Larger values keep the prior slope for longer.
constexpr double priorSlopeSpread = 0.2;

} // namespace

linear_fit::linear_fit(line prior, double decay)
    : m_prior(prior)
    , m_line(prior)
    , m_decay(decay)
{
}

void linear_fit::add(double x, double y)
{
    m_weight = m_weight * m_decay + 1;
    m_sumX = m_sumX * m_decay + x;
    m_sumY = m_sumY * m_decay + y;
    m_sumXx = m_sumXx * m_decay + x * x;
    m_sumXy = m_sumXy * m_decay + x * y;
    solve();
}

double linear_fit::at(double x) const
{
    return std::max(m_minValue, m_line.intercept + m_line.slope * x);
}

void linear_fit::solve()
{
    const double meanX = m_sumX / m_weight;
    const double meanY = m_sumY / m_weight;
    const double priorMean = m_prior.intercept + m_prior.slope * meanX;
    // Only the shape of the prior is used: scaled to the mean, it fits an engine of any speed.
    const double scale = priorMean > 0 ? meanY / priorMean : 1;
    const double priorSlope = m_prior.slope * scale;
    const double spreadX = std::max(0.0, m_sumXx - meanX * m_sumX);
    const double spreadXy = m_sumXy - meanX * m_sumY;
    const double ridge = priorSlopeSpread * priorSlopeSpread * meanX * meanX + 1e-12;
    // Costs do not decrease with more tokens or more concurrency, and the intercept is not negative.
    m_line.slope = std::max(0.0, (spreadXy + ridge * priorSlope) / (spreadX + ridge));
    if (meanX > 0)
        m_line.slope = std::min(m_line.slope, meanY / meanX);
    m_line.intercept = meanY - m_line.slope * meanX;
    m_minValue = meanY / 100;
}

} // namespace carawaylink
