#pragma once

#include "linear_fit.h"

#include "base/ids.h"

#include <array>
#include <cstdint>

namespace carawaylink {

/// Speed of an endpoint, a hardware generation or a pool, learned from observed requests.
struct speed_model {
    speed_model();

    /// Seconds from dispatch to the first token, as a function of uncached prompt tokens.
    linear_fit firstToken;
    /// Seconds per output token of one stream, as a function of the number of concurrent streams.
    linear_fit outputToken;
    monotonic_time lastSample {};
};

/// Models from the most to the least specific; estimates come from the first one with enough samples.
struct speed_models {
    speed_model* endpoint = nullptr;
    speed_model* generation = nullptr;
    speed_model* pool = nullptr;

    void addFirstToken(monotonic_time now, double uncachedTokens, double seconds) const;
    void addOutputToken(monotonic_time now, double concurrency, double secondsPerToken) const;
    double firstTokenSeconds(double uncachedTokens) const;
    double secondsPerToken(double concurrency) const;
    /// Uncached prompt tokens per second, excluding the constant part of the time to first token.
    double prefillTokensPerSecond() const;
    /// True if estimates rest on recent samples; other estimates must not be used to refuse requests.
    bool learned(monotonic_time now) const;

private:
    const linear_fit& firstTokenFit() const;
    const linear_fit& outputTokenFit() const;
};

/// Exponentially weighted mean of recent values, with their mean absolute deviation.
class recent_mean {
public:
    recent_mean(double prior, double priorDeviation, double decay);
    void add(double value);
    double mean() const { return m_mean; }
    double deviation() const { return m_deviation; }
    double samples() const { return m_weight; }

private:
    double m_mean;
    double m_deviation;
    double m_decay;
    double m_weight = 0;
};

/// Share of its maximum output that a request uses, by size class of the maximum: the tags and reminders of a team use a different
/// share than its plans and reviews.
class output_shares {
public:
    output_shares();
    void add(std::int64_t maximum, std::int64_t used);
    const recent_mean& forMaximum(std::int64_t maximum) const;

private:
    static std::size_t sizeClass(std::int64_t maximum);

    std::array<recent_mean, 4> m_shares;
};

/// Expected output tokens of a request, by the share of its team; while the team has few samples, blended with the share of the whole
/// service.
double expectedOutput(const output_shares& team, const output_shares& service, std::int64_t maximum);

} // namespace carawaylink
