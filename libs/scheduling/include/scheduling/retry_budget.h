#pragma once

#include "base/enum_table.h"
#include "base/ids.h"

#include <cstddef>

namespace carawaylink {

/// Limits retries to a share of recent requests, so that retries do not multiply the load on a failing service.
/// A token bucket of one node; limits::retry_budget counts in a time window and divides the limit among the nodes.
class retry_budget {
public:
    /// share: retries per request, 0 to 1. minimum: retries per second allowed at any load.
    retry_budget(double share, double minimum);
    void recordRequest(monotonic_time now);
    /// Consumes one retry from the budget; false if the budget is exhausted.
    bool tryRetry(monotonic_time now);

private:
    void refill(monotonic_time now);

    double m_share;
    double m_minimum;
    double m_tokens;
    monotonic_time m_last {};
};

enum class circuit_state {
    closed,
    open,
    half_open,
};

inline constexpr auto circuitStateNames = enumTable<circuit_state>({
    { circuit_state::closed, "closed" },
    { circuit_state::open, "open" },
    { circuit_state::half_open, "half_open" },
});

/// Stops requests to an endpoint after consecutive failures, then admits one probe request per backoff interval; the interval
/// doubles with each failed probe.
class circuit_breaker {
public:
    /// Returns whether a request may be sent now. In the half-open state, a true result claims the probe.
    bool allowRequest(monotonic_time now);
    void recordSuccess();
    void recordFailure(monotonic_time now);
    circuit_state state(monotonic_time now) const;
    /// Whether the last request failed.
    bool lastFailed() const { return m_failures > 0; }

private:
    std::size_t m_failures = 0;
    duration m_backoff {};
    monotonic_time m_openUntil {};
    /// Time by which the current probe must have reported its result.
    monotonic_time m_probeDeadline {};
};

} // namespace carawaylink
