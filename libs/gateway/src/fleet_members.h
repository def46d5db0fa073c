#pragma once

#include "membership/failure_detector.h"
#include "placement/pool_assignment.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace carawaylink::gateway {

/// Node counts of the fleet as known to this node.
struct fleet_size {
    /// Rank of this node among the live nodes, by address.
    std::size_t rank = 0;
    /// Nodes that accept callers, including this one.
    std::size_t live = 1;
    /// Nodes that can be reached, including this one and draining nodes.
    std::size_t reachable = 1;
    /// Nodes that may be running, including unreachable ones.
    std::size_t possible = 1;

    friend bool operator==(const fleet_size&, const fleet_size&) = default;
};

/// What a node announces as its address while it turns callers away. The failure detector takes an empty one for unknown, and a node of an
/// older version lists this one, where nobody can connect.
std::string addressWithoutCallers(const std::string& frontend);
bool acceptsCallers(const std::string& announced);

/// The other nodes of the fleet, from the changes that the failure detector reports. Does no I/O and reads no clock.
class fleet_members {
public:
    fleet_members(node_id self, unsigned capacity, monotonic_time now);

    void apply(const member_update& member, monotonic_time now);
    /// This node accepts callers, or no longer does.
    void setSelfServing(bool isServing);
    /// Addresses listed in the store; shortly after process start they count as possible nodes even if they were not heard of.
    void setListed(std::set<node_id> nodes) { m_listed = std::move(nodes); }

    fleet_size size(monotonic_time now) const;
    /// Nodes that accept callers, including this one; these can own pools.
    std::vector<placement::owner_candidate> serving() const;
    /// Frontend addresses of the other nodes that accept callers. Suspects are left out unless there are only suspects.
    std::vector<std::string> frontends() const;
    /// All reachable nodes, including this one, in ascending order.
    std::vector<node_id> reachable() const;
    /// The node in charge of a key, for example of a team's quota; this node if no other can be reached.
    node_id nodeFor(std::uint64_t key) const;
    /// Identity of the node's latest process.
    incarnation runOf(const node_id& node) const;
    /// Number of reachable nodes with lower addresses than this one.
    std::size_t reachableBefore() const;
    /// Increases whenever a node becomes reachable or unreachable, or begins or stops to accept callers.
    std::uint64_t version() const { return m_version; }

private:
    struct member_state_since {
        member_update info;
        monotonic_time since {};

        bool isReachable() const { return info.state == member_state::alive || info.state == member_state::suspect; }
        bool isServing() const { return isReachable() && !info.draining && acceptsCallers(info.httpAddress); }
    };

    node_id m_self;
    unsigned m_capacity;
    monotonic_time m_startedAt;
    bool m_isSelfServing = false;
    std::uint64_t m_version = 1;
    std::map<node_id, member_state_since> m_members;
    std::set<node_id> m_listed;
};

} // namespace carawaylink::gateway
