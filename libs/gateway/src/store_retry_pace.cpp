#include "store_retry_pace.h"

#include <algorithm>

namespace carawaylink::gateway {

namespace {

// Delay after the first failure; doubles with each further one.
constexpr auto minRetryDelay = std::chrono::milliseconds(250);
constexpr auto maxRetryDelay = std::chrono::milliseconds(1000);

} // namespace

duration store_retry_pace::delayAfterFailure(monotonic_time now)
{
    m_delay = std::clamp<duration>(2 * m_delay, minRetryDelay, maxRetryDelay);
    m_lastTry = std::max(now, m_lastTry) + m_delay;
    return m_lastTry - now;
}

void store_retry_pace::reset()
{
    m_delay = {};
    m_lastTry = {};
}

} // namespace carawaylink::gateway
