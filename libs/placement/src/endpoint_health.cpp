#include "placement/endpoint_health.h"

#include <algorithm>
#include <limits>

namespace carawaylink::placement {

namespace {

constexpr double failureRateSmoothing = 0.15;
// Well above the occasional errors of a healthy application.
constexpr double maxFailureRate = 0.5;
constexpr unsigned maxConsecutiveFailures = 3;
constexpr auto initialBackoff = std::chrono::milliseconds(400);
constexpr auto maxBackoff = std::chrono::milliseconds(3200);
constexpr unsigned maxBackoffExponent = 3;

bool isFailure(outcome result)
{
    return result == outcome::unreachable || result == outcome::broken || result == outcome::timed_out || result == outcome::invalid
        || result == outcome::failed;
}

} // namespace

void endpoint_health::record(outcome result, monotonic_time now)
{
    if (result == outcome::replaced)
        m_replaced = true;
    if (result == outcome::replaced || result == outcome::cancelled || result == outcome::rejected)
        return;
    const bool failure = isFailure(result);
    m_failureRate += failureRateSmoothing * ((failure ? 1.0 : 0.0) - m_failureRate);
    if (!failure) {
        m_consecutiveFailures = 0;
        m_probing = false;
        m_unreachable = false;
        if (m_failureRate < maxFailureRate / 2)
            m_blockCount = 0;
        return;
    }
    ++m_consecutiveFailures;
    m_unreachable = result == outcome::unreachable || result == outcome::timed_out;
    const bool isDown = result == outcome::unreachable || (result == outcome::timed_out && m_consecutiveFailures >= 2);
    if (isDown || m_probing || m_consecutiveFailures >= maxConsecutiveFailures || m_failureRate > maxFailureRate)
        block(now);
}

unsigned endpoint_health::concurrencyLimit(monotonic_time now) const
{
    if (isBlocked(now))
        return 0;
    return m_probing ? 1 : std::numeric_limits<unsigned>::max();
}

void endpoint_health::block(monotonic_time now)
{
    // Failures of requests that were already running when the backoff began do not extend it.
    if (isBlocked(now))
        return;
    const auto backoff = std::min<duration>(initialBackoff * (1U << std::min(m_blockCount, maxBackoffExponent)), maxBackoff);
    m_blockedUntil = now + backoff;
    ++m_blockCount;
    m_probing = true;
}

} // namespace carawaylink::placement
