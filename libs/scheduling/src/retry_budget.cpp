#include "scheduling/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace carawaylink {

namespace {

/// Time constant of the decay of unused budget. It is short, so that budget accumulated earlier does not allow a burst of retries much
/// later.
constexpr double budgetDecaySeconds = 10;

constexpr std::size_t failuresToOpen = 5;
constexpr duration initialBackoff = std::chrono::milliseconds(500);
constexpr duration maxBackoff = std::chrono::seconds(30);

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
        // Only the part above the minimum decays; otherwise a slow refill would never reach one retry.
        if (m_tokens > floor)
            m_tokens = floor + (m_tokens - floor) * std::exp(-elapsed / budgetDecaySeconds);
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
    if (now < m_openUntil || now < m_probeDeadline)
        return false;
    // A probe whose result is never reported must not block the endpoint permanently.
    m_probeDeadline = now + m_backoff;
    return true;
}

void circuit_breaker::recordSuccess()
{
    m_failures = 0;
    m_backoff = {};
    m_probeDeadline = {};
}

void circuit_breaker::recordFailure(monotonic_time now)
{
    ++m_failures;
    if (m_failures < failuresToOpen)
        return;
    // Failures of requests sent before the circuit opened carry no new information and must not double the backoff.
    if (now < m_openUntil)
        return;
    m_backoff = m_backoff == duration::zero() ? initialBackoff : std::min(2 * m_backoff, maxBackoff);
    m_openUntil = now + m_backoff;
    m_probeDeadline = {};
}

circuit_state circuit_breaker::state(monotonic_time now) const
{
    if (m_failures < failuresToOpen)
        return circuit_state::closed;
    return now < m_openUntil ? circuit_state::open : circuit_state::half_open;
}

} // namespace carawaylink
