#pragma once

#include <vector>

namespace carawaylink::bench {

/// Straight line through measured points.
struct linear_trend {
    double intercept = 0;
    double slope = 0;

    double at(double x) const { return intercept + slope * x; }
};

/// Least squares; a horizontal line through the mean where the points have one x only. Both lists have the same length.
linear_trend fitTrend(const std::vector<double>& x, const std::vector<double>& y);

} // namespace carawaylink::bench
