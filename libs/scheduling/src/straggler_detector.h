#pragma once

#include "records.h"

#include <functional>
#include <memory>
#include <span>

namespace carawaylink {

/// Detects endpoints that are much slower than others of their hardware generation, from the output progress of this pool's requests.
class straggler_detector {
public:
    void setFactor(double factor) { m_factor = factor; }
    /// Adds the output of one stream since its previous sample.
    static void addSample(endpoint_state& endpoint, double outputTokens, double seconds);
    bool windowEnded(monotonic_time now) const { return m_windowEnd != monotonic_time {} && now >= m_windowEnd; }
    /// Ends the current window if it is due. Returns true if an endpoint was ejected.
    bool tick(monotonic_time now, std::span<const std::unique_ptr<endpoint_state>> endpoints);
    /// Evaluates a finished probe by its ratio of observed to expected time. The second consecutive pass readmits the endpoint and returns
    /// true.
    bool evaluateProbe(monotonic_time now, endpoint_state& endpoint, double ratio) const;
    static constexpr duration probeInterval = std::chrono::seconds(1);

private:
    static constexpr duration windowLength = std::chrono::seconds(2);

    double m_factor = 2.5;
    monotonic_time m_windowEnd {};
};

} // namespace carawaylink
