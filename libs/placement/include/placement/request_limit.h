#pragma once

#include "base/ids.h"

#include <optional>

namespace carawaylink::placement {

/// Requests per second that an endpoint accepts from all nodes together, for as long as its responses name the limit. Spreads the requests
/// of one pool over time. share: fraction of the limit that the pool may use.
class request_limit {
public:
    /// Sets the limit that a response named. initialLevel: requests that may be sent at once if there was no limit before.
    void set(double perSecond, double initialLevel, double share, monotonic_time now);
    /// A response without a limit arrived; counts only if its request was sent after the limit was last named. Returns whether it counts.
    bool lift(monotonic_time sentAt);
    std::optional<double> perSecond() const { return m_perSecond; }

    /// Whether a request may be sent now.
    bool allows(double share, monotonic_time now) const;
    void use(double share, monotonic_time now);

private:
    double rate(double share) const;
    double levelAt(double share, monotonic_time now) const;

    std::optional<double> m_perSecond;
    monotonic_time m_namedAt {};
    /// Requests that may be sent at m_levelAt; negative after requests that others decided.
    double m_level = 0;
    monotonic_time m_levelAt {};
};

} // namespace carawaylink::placement
