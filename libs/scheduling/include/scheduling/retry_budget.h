#pragma once

#include "base/enum_table.h"
#include "base/ids.h"

#include <cstddef>

namespace carawaylink {

/// Bounds retries to a share of recent requests, so that a failing service is not sent more work than was offered.
class retry_budget {
public:
    /// share: retries per request, 0 to 1. minimum: retries per second that are allowed at any load.
    retry_budget(double share, double minimum);
    void recordRequest(monotonic_time now);
    /// Takes one retry from the budget; false where it is used up.
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

/// Stops sending to an endpoint after consecutive failures and lets one probe through after a pause that doubles.
class circuit_breaker {
public:
    bool allowRequest(monotonic_time now);
    void recordSuccess();
    void recordFailure(monotonic_time now);
    circuit_state state(monotonic_time now) const;

private:
    std::size_t m_failures = 0;
    duration m_pause {};
    monotonic_time m_reopen {};
    /// End of the time that the current probe has for its result.
    monotonic_time m_probeUntil {};
};

} // namespace carawaylink
