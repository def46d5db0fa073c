#pragma once

namespace carawaylink {

/// Least-squares line through recent samples, with exponential weights: each new sample multiplies the weight of older ones by `decay`.
/// The slope is regularized towards that of the prior, scaled to the mean, so that few, noisy or identical x values still give a usable
/// line.
class linear_fit {
public:
    /// y = intercept + slope * x.
    struct line {
        double intercept = 0;
        double slope = 0;
    };

    linear_fit(line prior, double decay);

    void add(double x, double y);
    /// Value of the line at x; at least 1/100 of the mean, since a cost of zero would attract all requests.
    double at(double x) const;
    double slope() const { return m_line.slope; }
    /// Total weight of the samples; at most 1 / (1 - decay).
    double samples() const { return m_weight; }

private:
    void solve();

    line m_prior;
    line m_line;
    double m_decay;
    double m_weight = 0;
    double m_sumX = 0;
    double m_sumY = 0;
    double m_sumXx = 0;
    double m_sumXy = 0;
    double m_minValue = 0;
};

} // namespace carawaylink
