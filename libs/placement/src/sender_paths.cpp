#include "placement/sender_paths.h"

namespace carawaylink::placement {

namespace {

// A second endpoint in a row without an answer by any is more likely to be the sender's fault.
constexpr std::size_t maxFailedEndpoints = 1;

bool isPathFailure(outcome result)
{
    return result == outcome::unreachable || result == outcome::timed_out;
}

} // namespace

bool sender_paths::tellsOfEndpoint(const node_id& sender, const discovery::replica_id& endpoint, outcome result)
{
    if (!isPathFailure(result))
        return true;
    auto& failed = m_failedAt[sender];
    failed.insert(endpoint);
    return failed.size() <= maxFailedEndpoints;
}

} // namespace carawaylink::placement
