#pragma once

#include "base/ids.h"

namespace carawaylink::gateway {

/// Spaces the retries of all followers of one node while the store fails, so that an outage costs the calls of one follower. Reads no
/// clock.
class store_retry_pace {
public:
    /// Returns the delay before the next try of a follower whose read has failed.
    duration delayAfterFailure(monotonic_time now);
    /// The store answers a follower again.
    void reset();

private:
    duration m_delay {};
    monotonic_time m_lastTry {};
};

} // namespace carawaylink::gateway
