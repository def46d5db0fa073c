#pragma once

namespace carawaylink {

/// Least-squares line through recent samples; older samples lose weight by `decay` per sample. The slope is drawn towards
/// that of the prior, scaled to the mean, so that samples at one x only, or a handful of noisy ones, give a usable line.
class linear_fit {
public:
    /// y = intercept + slope * x before the first sample.
    struct line {
        double intercept = 0;
        double slope = 0;
    };

    linear_fit(line prior, double decay);

    void add(double x, double y);
    /// Value of the line at x; never below a hundredth of the mean, since a cost of zero would attract all requests.
    double at(double x) const;
    double slope() const { return m_line.slope; }
    /// Weight of the remembered samples; at most 1 / (1 - decay).
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
    double m_floor = 0;
};

} // namespace carawaylink
