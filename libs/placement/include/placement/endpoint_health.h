#pragma once

#include "base/enum_table.h"
#include "base/ids.h"

namespace carawaylink::placement {

/// How a request ended at an endpoint.
enum class outcome {
    completed,
    /// The endpoint stated that it did not execute the request.
    rejected,
    /// Another process now listens on the endpoint's address; the request was not executed.
    replaced,
    /// No connection could be established.
    unreachable,
    /// The connection was lost before the response was complete.
    broken,
    /// No data arrived within the timeout.
    timed_out,
    /// The endpoint sent data that is not a response to the request.
    invalid,
    /// The endpoint answered with an application error.
    failed,
    /// The caller disconnected, or this node abandoned the request.
    cancelled,
};

inline constexpr auto outcomeNames = enumTable<outcome>({
    { outcome::completed, "completed" },
    { outcome::rejected, "rejected" },
    { outcome::replaced, "replaced" },
    { outcome::unreachable, "unreachable" },
    { outcome::broken, "broken" },
    { outcome::timed_out, "silent" },
    { outcome::invalid, "invalid" },
    { outcome::failed, "failed" },
    { outcome::cancelled, "cancelled" },
});

/// Circuit breaker of one endpoint, based on the outcomes that this node observed. After a backoff it admits a single request as a probe.
class endpoint_health {
public:
    void record(outcome result, monotonic_time now);
    /// Maximum number of requests that this node may run on the endpoint now.
    unsigned concurrencyLimit(monotonic_time now) const;
    bool isBlocked(monotonic_time now) const { return now < m_blockedUntil; }
    /// Exponential moving average of failed requests, 0 to 1.
    double failureRate() const { return m_failureRate; }
    /// True if the last failure was unreachable or timed_out and no request has succeeded since.
    bool isUnreachable() const { return m_unreachable; }
    /// True if another process has taken over the address; stays set until the endpoint registers again.
    bool isReplaced() const { return m_replaced; }

private:
    void block(monotonic_time now);

    double m_failureRate = 0;
    unsigned m_consecutiveFailures = 0;
    unsigned m_blockCount = 0;
    bool m_probing = false;
    bool m_unreachable = false;
    bool m_replaced = false;
    monotonic_time m_blockedUntil {};
};

} // namespace carawaylink::placement
