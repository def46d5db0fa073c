#pragma once

#include "base/enum_table.h"
#include "base/ids.h"

namespace carawaylink::placement {

/// How a request ended at an endpoint.
enum class outcome {
    completed,
    /// The endpoint says that it did not run the request.
    rejected,
    /// Another process has the address of the endpoint; it did not run the request.
    replaced,
    /// No connection could be made.
    unreachable,
    /// The connection broke before the response was whole.
    broken,
    /// Nothing arrived for too long.
    silent,
    /// Bytes that are no response to the request.
    invalid,
    /// The endpoint answered with an error of its own.
    failed,
    /// The caller left, or the request was given up here.
    cancelled,
};

inline constexpr auto outcomeNames = enumTable<outcome>({
    { outcome::completed, "completed" },
    { outcome::rejected, "rejected" },
    { outcome::replaced, "replaced" },
    { outcome::unreachable, "unreachable" },
    { outcome::broken, "broken" },
    { outcome::silent, "silent" },
    { outcome::invalid, "invalid" },
    { outcome::failed, "failed" },
    { outcome::cancelled, "cancelled" },
});

/// Decides from a node's own outcomes whether an endpoint gets requests. After a backoff it gets a single one as a probe.
class endpoint_health {
public:
    void record(outcome result, monotonic_time now);
    /// Most requests that this node may have running there now.
    unsigned concurrencyLimit(monotonic_time now) const;
    bool isBlocked(monotonic_time now) const { return now < m_blockedUntil; }
    /// Moving share of failed requests, 0 to 1.
    double failureRate() const { return m_failureRate; }
    /// Blocked because it cannot be reached, and not for the share of its failures.
    bool isUnreachable() const { return m_unreachable; }
    /// Its address belongs to another process; holds until the endpoint registers anew.
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
