#include "placement/request_limit.h"

#include "base/time.h"

#include <algorithm>
#include <chrono>

namespace carawaylink::placement {

namespace {

// An endpoint that accepts nothing is still asked now and then, because only its responses tell when the limit ends.
constexpr double minRequestsPerSecond = 0.2;
// Unused requests of this time may be sent at once.
constexpr double burstSeconds = 0.5;
constexpr double maxDebt = 2;

} // namespace

void request_limit::set(double perSecond, double initialLevel, double share, monotonic_time now)
{
    m_level = m_perSecond ? levelAt(share, now) : initialLevel;
    m_levelAt = now;
    m_perSecond = perSecond;
    m_namedAt = now;
}

bool request_limit::lift(monotonic_time sentAt)
{
    if (!m_perSecond || sentAt < m_namedAt)
        return false;
    m_perSecond.reset();
    return true;
}

double request_limit::rate(double share) const
{
    return std::max(*m_perSecond, minRequestsPerSecond) * share;
}

double request_limit::levelAt(double share, monotonic_time now) const
{
    const double elapsed = inSeconds(now - m_levelAt);
    return std::min(m_level + elapsed * rate(share), std::max(1.0, burstSeconds * rate(share)));
}

bool request_limit::allows(double share, monotonic_time now) const
{
    return !m_perSecond || levelAt(share, now) >= 1;
}

void request_limit::use(double share, monotonic_time now)
{
    if (!m_perSecond)
        return;
    m_level = std::max(levelAt(share, now) - 1, -maxDebt);
    m_levelAt = now;
}

} // namespace carawaylink::placement
