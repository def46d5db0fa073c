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

/// Token buckets of requests and tokens per team. A full bucket admits `burst` worth of its rate at once. A request above the
/// burst is admitted by a full bucket and leaves it in debt, so that long requests are delayed rather than refused for ever.
///
///     if (const auto retryAfter = limits.tryTake(now, team, promptTokens))
///         refuse(refusal_reason::team_rate_limit, *retryAfter);
class team_rate_limit {
public:
    explicit team_rate_limit(duration burst = std::chrono::seconds(2));

    /// Replaces the limits; the fill level of a team whose limit is unchanged is kept.
    void setLimits(std::span<const team_limit> limits);
    /// Takes one request and its estimated tokens. Returns nothing where they are admitted, else the time until they would be;
    /// nothing is taken in that case.
    std::optional<duration> tryAcquire(monotonic_time now, const team_id& team, tokens estimated);
    /// Replaces an estimate by the tokens that were really used.
    void correctEstimate(monotonic_time now, const team_id& team, tokens estimated, tokens used);

private:
    class bucket {
    public:
        bucket() = default;
        bucket(double rate, double burstSeconds);
        double rate() const { return m_rate; }
        void refill(monotonic_time now);
        /// Time until `amount` is admitted; zero where it is admitted now.
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
