#pragma once

#include "base/ids.h"
#include "discovery/endpoint_table.h"

#include <map>
#include <utility>
#include <vector>

namespace carawaylink::placement {

/// Estimates which nodes have idle connections to which endpoints, from the requests that they were granted and have finished. A request
/// over an idle connection needs no handshake.
class connection_estimate {
public:
    bool hasIdle(const node_id& node, const discovery::replica_id& endpoint, monotonic_time now) const;
    /// The node sends a request to the endpoint.
    void use(const node_id& node, const discovery::replica_id& endpoint);
    /// A response was received completely, so that its connection can be used again.
    void release(const node_id& node, const discovery::replica_id& endpoint, monotonic_time now);
    /// Forgets connections that have been idle for long; call from time to time.
    void expire(monotonic_time now);

private:
    /// Times since which connections are idle, the latest last.
    std::map<std::pair<node_id, discovery::replica_id>, std::vector<monotonic_time>> m_idleSince;
};

} // namespace carawaylink::placement
