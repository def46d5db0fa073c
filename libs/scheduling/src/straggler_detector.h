#pragma once

#include "records.h"

#include <functional>
#include <memory>
#include <span>

namespace carawaylink {

/// Finds endpoints that are much slower than others of their hardware generation, from the output progress of our own requests.
class straggler_detector {
public:
    void setFactor(double factor) { m_factor = factor; }
    /// Adds output of one stream since it was last counted.
    static void count(endpoint_record& endpoint, double outputTokens, double seconds);
    bool windowEnded(monotonic_time now) const { return m_windowEnd != monotonic_time {} && now >= m_windowEnd; }
    /// Ends the windows that are due. Returns true where an endpoint was ejected or readmitted.
    bool tick(monotonic_time now, std::span<const std::unique_ptr<endpoint_record>> endpoints);
    /// Judges a finished probe by its ratio of observed to expected time; the second good one in a row readmits the endpoint.
    bool judgeProbe(monotonic_time now, endpoint_record& endpoint, double ratio) const;
    static constexpr duration probeInterval = std::chrono::seconds(1);

private:
    static constexpr duration windowLength = std::chrono::seconds(2);

    double m_factor = 2.5;
    monotonic_time m_windowEnd {};
};

} // namespace carawaylink
