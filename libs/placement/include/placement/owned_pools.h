#pragma once

#include "placement/pool_assignment.h"
#include "placement/slot_owner.h"

#include <functional>
#include <map>
#include <memory>

namespace carawaylink::placement {

/// The pools that this node owns. Does no I/O and reads no clock.
class owned_pools {
public:
    using endpoints_by_service = std::map<service_id, std::vector<discovery::endpoint_record>>;
    /// Returns the speeds that this node knows of a service's endpoints.
    using speed_source = std::function<std::map<replica_id, endpoint_speed>(const service_id&)>;

    owned_pools(node_id self, std::uint64_t seed);

    void setLimits(const service_id& service, const pool_limits& limits);
    /// Sets which versions of the service may be granted, and how its owner divides the grants of each pool.
    void setVersionRules(const service_id& service, const version_rules& rules, const std::map<std::uint32_t, version_split>& splits);
    /// Takes over the pools that this node now owns and gives up the others; returns whether any changed hands.
    bool update(const endpoints_by_service& endpoints, std::span<const owner_candidate> candidates, const speed_source& knownSpeeds,
        monotonic_time now);
    /// Passes a call to the pool's owner; a call for a pool that this node does not own is answered with call_status::not_owner.
    void receive(const node_id& node, const slot_call& call, monotonic_time now);
    void removeNode(const node_id& node, monotonic_time now);
    /// Decides in all pools and returns the replies to send.
    std::vector<addressed_reply> takeReplies(monotonic_time now);
    /// Returns the slots that were taken back since the last call.
    std::vector<reclaimed_slots> takeReclaimed();
    /// Returns the pools in which admission control has acted since the last call.
    std::map<pool_id, admission_counts> takeAdmissionCounts();

    const std::map<pool_id, std::unique_ptr<slot_owner>>& pools() const { return m_pools; }

private:
    node_id m_self;
    random_source m_random;
    struct service_versions {
        version_rules rules;
        std::map<std::uint32_t, version_split> splits;

        version_split splitOf(std::uint32_t pool) const
        {
            const auto found = splits.find(pool);
            return found == splits.end() ? version_split {} : found->second;
        }
    };
    std::map<service_id, pool_limits> m_limits;
    std::map<service_id, service_versions> m_versions;
    std::map<pool_id, std::unique_ptr<slot_owner>> m_pools;
    std::vector<addressed_reply> m_rejections;
};

} // namespace carawaylink::placement
