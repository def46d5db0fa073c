#pragma once

#include "linear_fit.h"

#include "base/ids.h"

#include <array>
#include <cstdint>

namespace carawaylink {

/// Speed of one endpoint, one hardware generation or a whole pool, learned from finished requests.
struct speed_model {
    speed_model();

    /// Seconds from dispatch to the first token, by uncached prompt tokens.
    linear_fit firstToken;
    /// Seconds per output token of one stream, by number of streams running at the same time.
    linear_fit outputToken;
    monotonic_time lastSample {};
};

/// Models from the most to the least specific; the first one with enough samples answers.
struct speed_models {
    speed_model* endpoint = nullptr;
    speed_model* generation = nullptr;
    speed_model* pool = nullptr;

    void addFirstToken(monotonic_time now, double uncachedTokens, double seconds) const;
    void addOutputToken(monotonic_time now, double concurrency, double secondsPerToken) const;
    double firstTokenSeconds(double uncachedTokens) const;
    double secondsPerToken(double concurrency) const;
    /// Uncached prompt tokens per second, without the constant part of the time to the first token.
    double prefillTokensPerSecond() const;
    /// True where estimates rest on recent samples; estimates that do not must not refuse requests.
    bool learned(monotonic_time now) const;

private:
    const linear_fit& first() const;
    const linear_fit& output() const;
};

/// Mean of recent values of one kind, with the mean distance of the values from it.
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

/// Share of its maximum output that a request uses, by size of the maximum: tags and reminders of a team use another share than
/// its plans and reviews.
class output_shares {
public:
    output_shares();
    void add(std::int64_t maximum, std::int64_t used);
    const recent_mean& of(std::int64_t maximum) const;

private:
    static std::size_t sizeClass(std::int64_t maximum);

    std::array<recent_mean, 4> m_shares;
};

/// Expected output tokens of a request: by the share of its team, drawn towards that of the service while the team has few
/// samples.
double expectedOutput(const output_shares& team, const output_shares& service, std::int64_t maximum);

} // namespace carawaylink
