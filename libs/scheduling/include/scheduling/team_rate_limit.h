#pragma once

#include "base/ids.h"

#include <cstddef>
#include <optional>
#include <span>
#include <unordered_map>

namespace carawaylink {

/// Admission limits of one team at one node; 0 means no limit.
struct team_limit {
    team_id team;
    double requestsPerSecond = 0;
    double tokensPerSecond = 0;
};

/// Token buckets for requests and tokens, per team. A full bucket admits `burst` worth of its rate at once. A full bucket also admits a
/// request larger than the burst and goes negative, so that large requests are delayed rather than never admitted.
///
///     if (const auto retryAfter = limits.tryAcquire(now, team, promptTokens))
///         refuse(refusal_reason::team_rate_limit, *retryAfter);
class team_rate_limit {
public:
    explicit team_rate_limit(duration burst = std::chrono::seconds(2));

    /// Replaces the limits. A bucket whose rate is unchanged keeps its fill level.
    void setLimits(std::span<const team_limit> limits);
    /// Consumes one request and its estimated tokens. Returns nullopt if they are admitted; otherwise returns the time until they
    /// would be and consumes nothing.
    std::optional<duration> tryAcquire(monotonic_time now, const team_id& team, tokens estimated);
    /// Replaces an estimate with the number of tokens actually used.
    void correctEstimate(monotonic_time now, const team_id& team, tokens estimated, tokens used);

private:
    class bucket {
    public:
        bucket() = default;
        bucket(double rate, double burstSeconds);
        double rate() const { return m_rate; }
        void refill(monotonic_time now);
        /// Time until `amount` can be admitted; zero if it can be admitted now.
        duration delay(double amount) const;
        void take(double amount);

    private:
        double m_rate = 0;
        double m_capacity = 0;
        double m_level = 0;
        monotonic_time m_last {};
    };

    struct buckets {
        bucket requests;
        bucket tokenCount;
    };

    double m_burstSeconds;
    std::unordered_map<team_id, buckets> m_teams;
};

} // namespace carawaylink
