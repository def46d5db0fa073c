#include "scheduling/team_rate_limit.h"

#include <algorithm>

namespace carawaylink {

team_rate_limit::bucket::bucket(double rate, double burstSeconds)
    : m_rate(rate)
    // With a capacity below one request, rates under one request per burst would never admit anything.
    , m_capacity(std::max(1.0, rate * burstSeconds))
    , m_level(m_capacity)
{
}

void team_rate_limit::bucket::refill(monotonic_time now)
{
    if (m_last != monotonic_time {} && now > m_last)
        m_level = std::min(m_capacity, m_level + m_rate * std::chrono::duration<double>(now - m_last).count());
    m_last = std::max(m_last, now);
}

duration team_rate_limit::bucket::delay(double amount) const
{
    const double missing = std::min(amount, m_capacity) - m_level;
    if (m_rate <= 0 || missing <= 0)
        return {};
    // Rounded up, so that a caller that retries at exactly that time is admitted.
    return std::chrono::ceil<duration>(std::chrono::duration<double>(missing / m_rate)) + std::chrono::microseconds(1);
}

void team_rate_limit::bucket::take(double amount)
{
    m_level = std::min(m_capacity, m_level - amount);
}

team_rate_limit::team_rate_limit(duration burst)
    : m_burstSeconds(std::chrono::duration<double>(burst).count())
{
}

void team_rate_limit::setLimits(std::span<const team_limit> limits)
{
    std::unordered_map<team_id, buckets> teams;
    for (const auto& limit : limits) {
        buckets entry { { limit.requestsPerSecond, m_burstSeconds }, { limit.tokensPerSecond, m_burstSeconds } };
        if (const auto known = m_teams.find(limit.team); known != m_teams.end()) {
            if (known->second.requests.rate() == limit.requestsPerSecond)
                entry.requests = known->second.requests;
            if (known->second.tokenCount.rate() == limit.tokensPerSecond)
                entry.tokenCount = known->second.tokenCount;
        }
        teams.insert_or_assign(limit.team, entry);
    }
    m_teams = std::move(teams);
}

std::optional<duration> team_rate_limit::tryAcquire(monotonic_time now, const team_id& team, tokens estimated)
{
    const auto found = m_teams.find(team);
    if (found == m_teams.end())
        return std::nullopt;
    auto& [requests, tokenCount] = found->second;
    requests.refill(now);
    tokenCount.refill(now);
    const auto amount = static_cast<double>(estimated.value);
    const auto wait = std::max(requests.delay(1), tokenCount.delay(amount));
    if (wait > duration::zero())
        return wait;
    requests.take(1);
    tokenCount.take(amount);
    return std::nullopt;
}

void team_rate_limit::correctEstimate(monotonic_time now, const team_id& team, tokens estimated, tokens used)
{
    const auto found = m_teams.find(team);
    if (found == m_teams.end())
        return;
    found->second.tokenCount.refill(now);
    found->second.tokenCount.take(static_cast<double>(used.value - estimated.value));
}

} // namespace carawaylink
