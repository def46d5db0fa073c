#include "placement/endpoint_notice.h"

#include <algorithm>
#include <utility>

namespace carawaylink::placement {

// Returns whether the process is the one that the notice is about, or a later one, of which nothing is known yet.
bool endpoint_notice::concerns(std::int64_t startedAtMs)
{
    registered(startedAtMs);
    return startedAtMs == m_startedAtMs;
}

void endpoint_notice::registered(std::int64_t startedAtMs)
{
    if (startedAtMs <= m_startedAtMs)
        return;
    *this = {};
    m_startedAtMs = startedAtMs;
}

bool endpoint_notice::setLeaving(std::int64_t startedAtMs)
{
    return concerns(startedAtMs) && !std::exchange(m_isLeaving, true);
}

bool endpoint_notice::setRest(std::int64_t startedAtMs, const node_id& node, monotonic_time until)
{
    if (!concerns(startedAtMs))
        return false;
    auto& known = m_restUntil[node];
    return std::exchange(known, std::max(known, until)) < until;
}

std::optional<monotonic_time> endpoint_notice::restUntil(const node_id& node, monotonic_time now) const
{
    const auto found = m_restUntil.find(node);
    return found == m_restUntil.end() || found->second <= now ? std::nullopt : std::optional(found->second);
}

bool endpoint_notice::rests(monotonic_time now) const
{
    return std::ranges::any_of(m_restUntil, [now](const auto& entry) { return entry.second > now; });
}

} // namespace carawaylink::placement
