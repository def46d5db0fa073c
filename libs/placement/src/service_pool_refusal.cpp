#include "placement/service_pool.h"

#include "base/time.h"

#include <algorithm>

namespace carawaylink::placement {

namespace {

// Minimum number of requests assumed to start per window.
constexpr double minStartsPerWindow = 2;
// Safety margin before the latency target.
constexpr auto targetMargin = std::chrono::milliseconds(15);
// Queue time that is acceptable in addition to a multiple of the latency target.
constexpr auto queueTimeAllowance = std::chrono::milliseconds(500);
// The floor stops for a rank that has reached its share, so its requests may wait longer than by the rate of its starts.
constexpr double floorWaitMargin = 3;
constexpr auto minRetryAfter = std::chrono::milliseconds(200);
constexpr auto maxRetryAfter = std::chrono::seconds(4);

} // namespace

// The margin keeps requests that would narrowly miss their target from being ordered before those that can meet it.
bool service_pool::canMeetTarget(const waiting_request& request, monotonic_time now)
{
    const auto& fastest = request.minTimeToFirstEvent;
    return fastest && now + 3 * *fastest / 2 + targetMargin <= request.target;
}

wait_report service_pool::explainWait(const waiting_request& request, std::size_t ahead, monotonic_time now) const
{
    wait_report report { request.id, now - request.arrived, ahead };
    for (const auto& [id, endpoint] : m_endpoints) {
        if (!endpoint.isListed)
            continue;
        if (!isUsable(endpoint, now) || isExcluded(endpoint, request, now))
            ++report.unusable;
        else if (!hasCapacity(endpoint, request, now))
            ++report.full;
        else if (!keepsEventGap(endpoint, request))
            ++report.prefillBusy;
        else
            ++report.tooSlow;
    }
    return report;
}

std::optional<monotonic_time> service_pool::firstRestEnd(const waiting_request& request, monotonic_time now) const
{
    std::optional<monotonic_time> first;
    for (const auto* endpoint : m_usable) {
        const auto until = endpoint->notice.restUntil(request.sender, now);
        if (until && (!first || *until < *first))
            first = until;
    }
    return first;
}

std::optional<refusal> service_pool::checkRefusal(const waiting_request& request, const queue_position& position, monotonic_time now)
{
    // A version that has left does not come back in time, and the caller can start anew.
    if (request.version && !acceptsVersion(*request.version))
        return refusal { request.id, refusal_cause::version_gone, minRetryAfter, position.ahead };
    if (request.responseStarted)
        return std::nullopt;
    const auto wait = expectedWait(request, position, now);
    const auto retryAfter = std::clamp<duration>(wait, minRetryAfter, maxRetryAfter);
    const auto& fastest = request.minTimeToFirstEvent;
    if (!fastest) {
        if (now + minRetryAfter <= request.target)
            return std::nullopt;
        const auto restEnd = firstRestEnd(request, now).value_or(now);
        const auto untilUsable = std::clamp<duration>(restEnd - now, retryAfter, maxRetryAfter);
        return refusal { request.id, refusal_cause::no_endpoint, untilUsable, position.ahead };
    }
    if (now + *fastest > request.deadline)
        return refusal { request.id, refusal_cause::deadline, retryAfter, position.ahead };
    // Half of the time is reserved for the response. A caller is better served by an early refusal than by a long wait without a result.
    const auto maxQueueTime
        = std::min<duration>((request.deadline - request.arrived) / 2, 3 * (request.target - request.arrived) + queueTimeAllowance);
    const auto latestStart = request.arrived + maxQueueTime;
    if (now + wait > latestStart)
        return refusal { request.id, refusal_cause::queue, retryAfter, position.ahead };
    return std::nullopt;
}

// The queue is served in order, so only recent starts at or behind this request's position in that order count. The floor serves the
// requests of a rank in their order, whatever is ahead of them.
duration service_pool::expectedWait(const waiting_request& request, const queue_position& position, monotonic_time now) const
{
    std::size_t starts = 0;
    for (auto entry = m_startsByRank.lower_bound(rankOf(request)); entry != m_startsByRank.end(); ++entry)
        starts += entry->second;
    const double rate = std::max<double>(static_cast<double>(starts), minStartsPerWindow) / inSeconds(queueRateWindow);
    double wait = static_cast<double>(position.ahead) / rate;
    if (const double floorRate = m_floor.startRate(urgencyOf(request), now); floorRate > 0)
        wait = std::min(wait, floorWaitMargin * static_cast<double>(position.sameUrgency + 1) / floorRate);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(wait));
}

} // namespace carawaylink::placement
