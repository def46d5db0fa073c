#include "scheduling/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace carawaylink {

namespace {

/// Requests count as recent for about this long; short enough that a quiet night earns no burst of retries in the morning.
constexpr double budgetWindowSeconds = 10;

constexpr std::size_t failuresToOpen = 5;
constexpr duration firstPause = std::chrono::milliseconds(500);
constexpr duration longestPause = std::chrono::seconds(30);

} // namespace

retry_budget::retry_budget(double share, double minimum)
    : m_share(share)
    , m_minimum(minimum)
    , m_tokens(std::max(1.0, minimum))
{
}

void retry_budget::refill(monotonic_time now)
{
    if (m_last != monotonic_time {} && now > m_last) {
        const double elapsed = std::chrono::duration<double>(now - m_last).count();
        const double floor = std::max(1.0, m_minimum);
        // Only what exceeds the minimum decays, since a slow refill would otherwise never reach one retry.
        if (m_tokens > floor)
            m_tokens = floor + (m_tokens - floor) * std::exp(-elapsed / budgetWindowSeconds);
        else
            m_tokens = std::min(floor, m_tokens + elapsed * m_minimum);
    }
    m_last = std::max(m_last, now);
}

void retry_budget::recordRequest(monotonic_time now)
{
    refill(now);
    m_tokens += m_share;
}

bool retry_budget::tryRetry(monotonic_time now)
{
    refill(now);
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

bool circuit_breaker::allowRequest(monotonic_time now)
{
    if (m_failures < failuresToOpen)
        return true;
    if (now < m_reopen || now < m_probeUntil)
        return false;
    // A probe whose result is never reported must not block the endpoint for good.
    m_probeUntil = now + m_pause;
    return true;
}

void circuit_breaker::recordSuccess()
{
    m_failures = 0;
    m_pause = {};
    m_probeUntil = {};
}

void circuit_breaker::recordFailure(monotonic_time now)
{
    ++m_failures;
    if (m_failures < failuresToOpen)
        return;
    // Failures of requests that were sent before the circuit opened tell nothing new and must not double the pause.
    if (now < m_reopen)
        return;
    m_pause = m_pause == duration::zero() ? firstPause : std::min(2 * m_pause, longestPause);
    m_reopen = now + m_pause;
    m_probeUntil = {};
}

circuit_state circuit_breaker::state(monotonic_time now) const
{
    if (m_failures < failuresToOpen)
        return circuit_state::closed;
    return now < m_reopen ? circuit_state::open : circuit_state::half_open;
}

} // namespace carawaylink
