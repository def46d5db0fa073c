#include "placement/connection_estimate.h"

#include <algorithm>

namespace carawaylink::placement {

namespace {

// Endpoints close idle connections after some seconds.
constexpr auto idleTimeout = std::chrono::seconds(4);

} // namespace

bool connection_estimate::hasIdle(const node_id& node, const discovery::replica_id& endpoint, monotonic_time now) const
{
    const auto found = m_idleSince.find({ node, endpoint });
    return found != m_idleSince.end() && !found->second.empty() && now - found->second.back() < idleTimeout;
}

void connection_estimate::use(const node_id& node, const discovery::replica_id& endpoint)
{
    const auto found = m_idleSince.find({ node, endpoint });
    if (found != m_idleSince.end() && !found->second.empty())
        found->second.pop_back();
}

void connection_estimate::release(const node_id& node, const discovery::replica_id& endpoint, monotonic_time now)
{
    m_idleSince[{ node, endpoint }].push_back(now);
}

void connection_estimate::expire(monotonic_time now)
{
    std::erase_if(m_idleSince, [now](auto& entry) {
        const auto isExpired = [now](monotonic_time since) { return now - since >= idleTimeout; };
        return std::ranges::all_of(entry.second, isExpired);
    });
}

} // namespace carawaylink::placement
