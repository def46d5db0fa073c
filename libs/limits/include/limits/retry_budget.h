#pragma once

#include "base/ids.h"

#include <deque>

namespace carawaylink::limits {

/// Limits how many requests of a service are retried at a second endpoint, so that retries cannot amplify an overload. Each node uses
/// only its own share of the budget, so the limit holds for the fleet without coordination. The retry_budget of libs/scheduling is a token
/// bucket of one node.
class retry_budget {
public:
    /// ratio: retries per request; slack: additional retries that the whole fleet may make per window.
    retry_budget(double ratio, double slack, duration window);

    void countRequest(monotonic_time now);
    /// Consumes one retry; returns false if none is left. nodes: upper bound of the number of nodes that may be running.
    bool takeRetry(std::size_t nodes, monotonic_time now);

private:
    struct interval {
        monotonic_time start;
        double requests = 0;
        double retries = 0;
    };
    interval& current(monotonic_time now);

    double m_ratio;
    double m_slack;
    duration m_window;
    std::deque<interval> m_intervals;
};

} // namespace carawaylink::limits
