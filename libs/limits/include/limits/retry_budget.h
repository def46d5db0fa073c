#pragma once

#include "base/ids.h"

#include <deque>

namespace carawaylink::limits {

/// Bounds how many requests of a service are sent to a second endpoint, so that repeats cannot multiply an overload. Each node
/// spends its own part only, so that the bound of the fleet holds without messages.
class retry_budget {
public:
    /// ratio: repeats per request; slack: repeats that the whole fleet may add in a window.
    retry_budget(double ratio, double slack, duration window);

    void countRequest(monotonic_time now);
    /// Takes one repeat; false where none is left. nodes is the largest number of nodes that may run at present.
    bool takeRetry(std::size_t nodes, monotonic_time now);

private:
    struct interval {
        monotonic_time start;
        double requests = 0;
        double repeats = 0;
    };
    interval& current(monotonic_time now);

    double m_ratio;
    double m_slack;
    duration m_window;
    std::deque<interval> m_intervals;
};

} // namespace carawaylink::limits
