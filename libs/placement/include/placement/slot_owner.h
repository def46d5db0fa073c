#pragma once

#include "placement/slot_messages.h"

#include <map>
#include <unordered_map>
#include <utility>

namespace carawaylink::placement {

/// Owner of one pool: keeps the only queue for its endpoints and grants their slots to the nodes that serve callers. Nodes that fall
/// silent lose their slots. Does no I/O and reads no clock.
///
///     owner.receive(node, call, now);
///     for (auto& entry : owner.takeReplies(now)) send(entry.node, entry.reply);
class slot_owner {
public:
    /// now: start of the ownership. Nothing is granted during a short time in which the nodes list the slots that they hold.
    slot_owner(pool_id pool, std::uint64_t seed, monotonic_time now);

    void setLimits(const pool_limits& limits) { m_pool.setLimits(limits); }
    /// Sets which versions may be granted and how the grants are divided; tells all nodes that have a session.
    void setVersionRules(const version_rules& rules, const version_split& split);
    std::vector<version_observation> takeObservations() { return m_pool.takeObservations(); }
    std::size_t runningOld() const { return m_pool.runningOld(); }
    void setEndpoints(const std::vector<discovery::endpoint_record>& records, monotonic_time now) { m_pool.setEndpoints(records, now); }
    /// Sets estimates with which the owner starts; its own measurements soon outweigh them.
    void setInitialSpeeds(const std::map<replica_id, endpoint_speed>& speeds);

    void receive(const node_id& node, const slot_call& call, monotonic_time now);
    /// Drops the requests of a node whose process has ended.
    void removeNode(const node_id& node, monotonic_time now);
    /// Grants and refuses what can be decided now, and returns the replies to send.
    std::vector<addressed_reply> takeReplies(monotonic_time now);
    /// Returns the slots that were taken back since the last call.
    std::vector<reclaimed_slots> takeReclaimed() { return std::exchange(m_reclaimed, {}); }

    admission_counts takeAdmissionCounts() { return m_pool.takeAdmissionCounts(); }

    pool_load load() const { return m_pool.totalLoad(); }
    /// Where the request would go now; decides nothing.
    owner_explanation explain(const waiting_request& request, monotonic_time now);

private:
    /// State of one node's session.
    struct node_session {
        std::uint64_t session = 0;
        std::uint32_t lastCall = 0;
        std::uint32_t lastReply = 0;
        /// Number of the last reply with grants.
        std::uint32_t lastGrantReply = 0;
        bool needsReply = false;
        /// The node knows the rules on versions.
        bool knowsVersions = false;
        monotonic_time lastHeardAt {};
        /// Ids in the pool by the node's ids.
        std::unordered_map<std::uint64_t, std::uint64_t> requests;
        slot_reply pending;
    };
    struct request_origin {
        node_id node;
        std::uint64_t id = 0;
    };

    void reject(const node_id& node, node_session& session, const slot_call& call, monotonic_time now);
    void apply(const node_id& node, node_session& session, const slot_call& call, monotonic_time now);
    /// Returns the id in the pool of a node's request; assigns one if it is new.
    std::uint64_t poolRequest(const node_id& node, node_session& session, std::uint64_t id);
    /// Drops the ids of a request that neither waits nor runs any more.
    void forgetIfEnded(node_session& session, std::uint64_t id);
    void releaseAll(node_session& session, monotonic_time now);
    /// Whether the node holds all slots that are counted for it, as far as the call tells.
    bool confirms(const node_id& node, const node_session& session, const slot_call& call);
    void removeSilentNodes(monotonic_time now);
    void collectDecisions(monotonic_time now);

    pool_id m_id;
    service_pool m_pool;
    std::map<node_id, node_session> m_nodes;
    std::unordered_map<std::uint64_t, request_origin> m_origins;
    std::vector<addressed_reply> m_rejections;
    std::vector<reclaimed_slots> m_reclaimed;
    std::uint64_t m_nextRequest = 1;
    monotonic_time m_grantsFrom;
    monotonic_time m_lastDecisionAt;
};

} // namespace carawaylink::placement
