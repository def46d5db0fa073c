#pragma once

#include "base/ids.h"
#include "discovery/endpoint_table.h"
#include "placement/endpoint_health.h"

#include <map>
#include <set>
#include <utility>

namespace carawaylink::placement {

/// Which endpoints each sender can reach. Tells an endpoint that is down from a sender that has lost its own path: the first fails for its
/// senders, the second fails at one endpoint after the other and is answered by none.
class sender_paths {
public:
    /// Records how a send ended; returns whether that tells something of the endpoint.
    bool record(const node_id& sender, const discovery::replica_id& endpoint, outcome result, monotonic_time now);
    /// The endpoint has sent part of a response.
    void recordAnswer(const node_id& sender, const discovery::replica_id& endpoint);
    /// Whether the sender should not use the endpoint now, since it has just failed to reach it.
    bool isBlocked(const node_id& sender, const discovery::replica_id& endpoint, monotonic_time now) const;

private:
    struct blocked_path {
        monotonic_time until;
        duration backoff;
    };

    void block(const node_id& sender, const discovery::replica_id& endpoint, monotonic_time now);

    std::map<std::pair<node_id, discovery::replica_id>, blocked_path> m_blocked;
    /// Endpoints that a sender could not reach since one answered it last.
    std::map<node_id, std::set<discovery::replica_id>> m_failedAt;
};

} // namespace carawaylink::placement
