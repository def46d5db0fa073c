#include "placement/endpoint_health.h"

#include <algorithm>
#include <limits>

namespace carawaylink::placement {

namespace {

constexpr double shareRate = 0.15;
// A share above this is far from the few errors that a sound application gives.
constexpr double badShare = 0.5;
constexpr unsigned maxConsecutiveFailures = 3;
constexpr auto firstPause = std::chrono::milliseconds(400);
constexpr auto maxBackoff = std::chrono::milliseconds(3200);
constexpr unsigned largestShift = 3;

bool isFailure(outcome result)
{
    return result == outcome::unreachable || result == outcome::broken || result == outcome::silent || result == outcome::invalid
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
    m_failureShare += shareRate * ((failure ? 1.0 : 0.0) - m_failureShare);
    if (!failure) {
        m_consecutive = 0;
        m_probing = false;
        m_unreachable = false;
        if (m_failureShare < badShare / 2)
            m_blocks = 0;
        return;
    }
    ++m_consecutive;
    m_unreachable = result == outcome::unreachable || result == outcome::silent;
    const bool isDown = result == outcome::unreachable || (result == outcome::silent && m_consecutive >= 2);
    if (isDown || m_probing || m_consecutive >= maxConsecutiveFailures || m_failureShare > badShare)
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
    // Requests that were already running when the pause began do not lengthen it.
    if (isBlocked(now))
        return;
    const auto pause = std::min<duration>(firstPause * (1U << std::min(m_blocks, largestShift)), maxBackoff);
    m_blockedUntil = now + pause;
    ++m_blocks;
    m_probing = true;
}

} // namespace carawaylink::placement
