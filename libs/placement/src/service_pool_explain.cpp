#include "placement/service_pool.h"

#include <algorithm>
#include <tuple>

namespace carawaylink::placement {

std::optional<placement_obstacle> service_pool::obstacleAt(
    const endpoint_state& endpoint, const waiting_request& request, monotonic_time now) const
{
    if (whyUnusable(endpoint))
        return placement_obstacle::not_accepting;
    if (!isUsable(endpoint, now))
        return placement_obstacle::unhealthy;
    if (isExcluded(endpoint, request, now))
        return placement_obstacle::excluded;
    if (!hasFreeSlot(endpoint, now))
        return placement_obstacle::no_slot;
    if (!hasCapacity(endpoint, request, now))
        return placement_obstacle::no_memory;
    const auto work = uncachedWork(request.prompt, believedTokens(endpoint, request));
    const bool mayPrefillAlone = endpoint.load.pendingPrefill.value == 0 && exceedsGapOnAllEndpoints(request, now);
    if (!keepsEventGap(endpoint, request, work) && !mayPrefillAlone)
        return placement_obstacle::event_gap;
    const auto first = now + endpoint.model.timeToFirstEvent(endpoint.load.pendingPrefill, work);
    if (!request.isLate && first > request.target)
        return placement_obstacle::target;
    const auto end = canFinish(request, now) ? first + timeToFinish(endpoint.model, request) : first;
    return end > request.deadline ? std::optional(placement_obstacle::deadline) : std::nullopt;
}

explained_candidate service_pool::explainEndpoint(const endpoint_state& endpoint, const waiting_request& request, monotonic_time now) const
{
    explained_candidate result;
    result.replica = endpoint.record.id;
    result.obstacle = obstacleAt(endpoint, request, now);
    result.kept = believedTokens(endpoint, request);
    const auto work = uncachedWork(request.prompt, result.kept);
    result.prefillWait = endpoint.model.prefillTime(endpoint.load.pendingPrefill);
    result.expectedFirstEvent = endpoint.model.timeToFirstEvent(endpoint.load.pendingPrefill, work);
    result.score = scoreOf(endpoint, request, result.expectedFirstEvent, work, now);
    result.running = endpoint.load.running;
    result.slots = usableSlots(endpoint);
    result.memory = endpoint.load.memory;
    return result;
}

placement_explanation service_pool::explain(waiting_request request, monotonic_time now)
{
    beginPass(now);
    request.minTimeToFirstEvent = minTimeToFirstEvent(request, now);
    request.isLate = !canMeetTarget(request, now);
    placement_explanation result { request.isLate, {} };
    for (const auto& [id, endpoint] : m_endpoints)
        result.candidates.push_back(explainEndpoint(endpoint, request, now));
    std::ranges::stable_sort(
        result.candidates, {}, [](const explained_candidate& entry) { return std::tuple(entry.obstacle.has_value(), entry.score); });
    return result;
}

} // namespace carawaylink::placement
