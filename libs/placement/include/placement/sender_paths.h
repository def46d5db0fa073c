#pragma once

#include "base/ids.h"
#include "discovery/endpoint_table.h"
#include "placement/endpoint_health.h"

#include <map>
#include <set>

namespace carawaylink::placement {

/// Tells an endpoint that is down from a sender that has lost its own path: the first fails for its senders, the second fails at one
/// endpoint after the other and is answered by none.
class sender_paths {
public:
    /// Whether the outcome tells something of the endpoint.
    bool tellsOfEndpoint(const node_id& sender, const discovery::replica_id& endpoint, outcome result);
    void recordAnswer(const node_id& sender) { m_failedAt.erase(sender); }
    void forget(const node_id& sender) { m_failedAt.erase(sender); }

private:
    /// Endpoints that a sender could not reach since one answered it last.
    std::map<node_id, std::set<discovery::replica_id>> m_failedAt;
};

} // namespace carawaylink::placement
