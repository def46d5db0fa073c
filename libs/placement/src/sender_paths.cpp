#include "placement/sender_paths.h"

#include <algorithm>

namespace carawaylink::placement {

namespace {

// A second endpoint in a row without an answer by any is more likely to be the sender's fault.
constexpr std::size_t maxFailedEndpoints = 1;
constexpr auto initialBackoff = std::chrono::milliseconds(400);
constexpr auto maxBackoff = std::chrono::milliseconds(3200);
// Entries whose time was over for this long say nothing any more.
constexpr auto retention = std::chrono::seconds(10);
// Above it, old entries are looked for.
constexpr std::size_t manyEntries = 256;

bool isPathFailure(outcome result)
{
    return result == outcome::unreachable || result == outcome::timed_out;
}

} // namespace

bool sender_paths::record(const node_id& sender, const discovery::replica_id& endpoint, outcome result, monotonic_time now)
{
    if (result == outcome::completed || result == outcome::rejected || result == outcome::failed)
        recordAnswer(sender, endpoint);
    if (!isPathFailure(result))
        return true;
    block(sender, endpoint, now);
    auto& failed = m_failedAt[sender];
    failed.insert(endpoint);
    return failed.size() <= maxFailedEndpoints;
}

void sender_paths::recordAnswer(const node_id& sender, const discovery::replica_id& endpoint)
{
    m_failedAt.erase(sender);
    m_blocked.erase({ sender, endpoint });
}

void sender_paths::block(const node_id& sender, const discovery::replica_id& endpoint, monotonic_time now)
{
    if (m_blocked.size() > manyEntries)
        std::erase_if(m_blocked, [now](const auto& entry) { return now - entry.second.until > retention; });
    const auto [position, isFirst] = m_blocked.try_emplace({ sender, endpoint }, blocked_path { now + initialBackoff, initialBackoff });
    auto& path = position->second;
    // Failures of requests that were already running when the backoff began do not extend it.
    if (isFirst || now < path.until)
        return;
    path.backoff = std::min<duration>(2 * path.backoff, maxBackoff);
    path.until = now + path.backoff;
}

bool sender_paths::isBlocked(const node_id& sender, const discovery::replica_id& endpoint, monotonic_time now) const
{
    const auto found = m_blocked.find({ sender, endpoint });
    return found != m_blocked.end() && now < found->second.until;
}

} // namespace carawaylink::placement
