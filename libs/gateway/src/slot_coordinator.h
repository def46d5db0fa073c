#pragma once

#include "decision_log.h"
#include "peer_codec.h"
#include "placement/owned_pools.h"
#include "placement/slot_client.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace carawaylink::gateway {

/// Who decides in a pool, and what it would decide if that is this node.
struct pool_explanation {
    std::optional<node_id> owner;
    std::optional<placement::owner_explanation> view;
};

/// Obtains slots for the requests of this node from the owners of the pools, and owns pools itself. Exchanges calls and replies with the
/// other nodes; those to itself stay in the process. Runs on one event loop.
class slot_coordinator {
public:
    struct handlers {
        std::function<void(const node_id& node, peer::envelopeT message)> send;
        std::function<void(const service_id& service, const placement::pool_decisions& decisions)> onDecisions;
        /// The owner does not reply over the present connection.
        std::function<void(const node_id& owner)> onOwnerSilent;
        /// Admission control has acted in a pool that this node owns; called at most once a second for each pool.
        std::function<void(const placement::admission_counts& counts)> onAdmissions = [](const placement::admission_counts&) {};
    };

    slot_coordinator(boost::asio::io_context& context, node_id self, failure_domain domain, decision_log& log, std::uint64_t seed);

    void setHandlers(handlers given) { m_handlers = std::move(given); }
    void setLimits(const service_id& service, const placement::pool_limits& limits);
    void setEndpoints(const std::map<discovery::replica_id, discovery::endpoint_record>& records);
    /// nodes: those that accept callers. rank: index of this node among them.
    void setMembers(std::vector<placement::owner_candidate> nodes, std::size_t rank);

    /// Holds back versions that appear without an order.
    void holdNewVersions() { m_holdsNewVersions = true; }
    /// Sets which versions of the service may be used: by this node, and by the pools that it owns, whose grants are divided by pool.
    void setVersionRules(const service_id& service, const placement::version_rules& known, const placement::version_rules& owned,
        const std::map<std::uint32_t, placement::version_split>& splits);
    const std::vector<discovery::endpoint_record>& endpointsOf(const service_id& service) const;
    /// Software version of the endpoint as this node knows it; empty if it is unknown or tells none.
    std::string versionOf(const discovery::replica_id& replica) const;
    /// The owned pools of the service; valid until the next change of endpoints or members.
    std::map<std::uint32_t, placement::slot_owner*> ownedPools(const service_id& service) const;
    /// Nodes that own the pools of the service, by pool; at least one entry unless there are no nodes.
    std::vector<std::optional<node_id>> ownersOf(const service_id& service) const;

    void submit(const service_id& service, placement::waiting_request request);
    bool withdraw(const service_id& service, std::uint64_t id);
    void recordProgress(const service_id& service, std::uint64_t id, std::size_t events);
    void recordOutcome(const service_id& service, std::uint64_t id, placement::outcome result, std::size_t events);
    /// A response of the endpoint named this limit, or none.
    void recordRequestLimit(
        const service_id& service, const discovery::replica_id& replica, std::optional<double> perSecond, monotonic_time sentAt);
    /// An answer of the endpoint said that it leaves, or asked for this rest.
    void recordLeaving(const service_id& service, const discovery::replica_id& replica);
    void recordRest(const service_id& service, const discovery::replica_id& replica, duration rest);
    duration firstEventTimeout(const service_id& service, std::uint64_t id) const;
    /// Withdraws the requests and gives back the slots of the ids that are not known to exist.
    void releaseUnknown(const std::function<bool(std::uint64_t id)>& exists);

    /// Decides what is due; call every 25 ms.
    void tick();
    void receive(const node_id& node, const peer::slot_callT& call);
    void receive(const node_id& node, const peer::slot_replyT& reply);
    /// The connection to a node was lost.
    void loseConnection(const node_id& node);
    /// A node's process has ended.
    void removeNode(const node_id& node);

    std::size_t waitingCount() const;
    /// Endpoints that name a request limit.
    std::size_t limitedCount() const;
    /// Endpoints that said of themselves that they leave or rest, as known to this node.
    placement::notice_counts noticeCounts() const;
    placement::notice_counts noticeCounts(const service_id& service) const;
    /// Reuse of prompt parts by the requests of this node.
    placement::reuse_totals reuse() const;
    /// Where the request would go in each pool of the service, by number; empty for an unknown service.
    std::vector<pool_explanation> explain(const service_id& service, const placement::waiting_request& request) const;
    std::size_t ownedCount() const { return m_owned.pools().size(); }

private:
    struct service_state {
        service_state(const service_id& name, const failure_domain& domain, std::uint32_t run, std::uint64_t seed)
            : client(name, domain, run, seed)
        {
        }
        placement::slot_client client;
        /// By pool, as last logged.
        std::vector<bool> silentOwners;
        placement::version_history versions;
        placement::version_rules known;
        placement::version_rules owned;
        std::map<std::uint32_t, placement::version_split> splits;
    };

    service_state& service(const service_id& name);
    const service_state* find(const service_id& name) const;
    void updateOwners();
    /// Applies the rules on versions with those that are held back now.
    void applyVersionRules(const service_id& name, service_state& state, monotonic_time now);
    void schedule();
    void decide(bool isTick);
    void deliverReplies(monotonic_time now);
    void sendCalls(service_state& state, monotonic_time now);
    void reportAdmissions(monotonic_time now);
    void logSilentOwners(const service_id& name, service_state& state);
    std::optional<discovery::endpoint_record> lookUp(std::uint64_t hash) const;

    boost::asio::io_context& m_context;
    node_id m_self;
    failure_domain m_domain;
    decision_log& m_log;
    handlers m_handlers;
    random_source m_random;
    std::uint32_t m_run;
    std::map<service_id, std::unique_ptr<service_state>> m_services;
    placement::owned_pools m_owned;
    placement::owned_pools::endpoints_by_service m_endpoints;
    std::unordered_map<std::uint64_t, discovery::endpoint_record> m_endpointByHash;
    std::vector<placement::owner_candidate> m_nodes;
    std::size_t m_rank = 0;
    monotonic_time m_admissionsReportedAt {};
    bool m_isScheduled = false;
    bool m_holdsNewVersions = false;
    /// Expires with this object, before the work that the event loop still holds.
    std::shared_ptr<slot_coordinator*> m_alive;
};

} // namespace carawaylink::gateway
