#include "bench/linear_trend.h"

#include <numeric>

namespace carawaylink::bench {

linear_trend fitTrend(const std::vector<double>& x, const std::vector<double>& y)
{
    if (x.empty())
        return {};
    const auto count = static_cast<double>(x.size());
    const auto meanX = std::accumulate(x.begin(), x.end(), 0.0) / count;
    const auto meanY = std::accumulate(y.begin(), y.end(), 0.0) / count;
    double covariance = 0;
    double variance = 0;
    for (std::size_t i = 0; i < x.size(); ++i) {
        covariance += (x[i] - meanX) * (y[i] - meanY);
        variance += (x[i] - meanX) * (x[i] - meanX);
    }
    const auto slope = variance > 0 ? covariance / variance : 0;
    return { meanY - slope * meanX, slope };
}

} // namespace carawaylink::bench
