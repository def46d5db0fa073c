#pragma once

#include "decision_log.h"
#include "gateway/gateway_node.h"
#include "gateway/protocol_codec.h"
#include "http/client.h"
#include "http/server.h"
#include "limits/repeat_budget.h"
#include "limits/shared_quota.h"
#include "metrics.h"
#include "placement/service_pool.h"
#include "routing/route_table.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace carawaylink::gateway {

class exchange;

/// How many nodes there are, as far as this one knows.
struct fleet_size {
    /// Position of this node among the live ones.
    std::size_t rank = 0;
    /// Nodes that take callers, with this one.
    std::size_t live = 1;
    /// Nodes whose use of the quotas is known, with this one; also those that are stopping.
    std::size_t reporting = 1;
    /// Nodes that may be running, reachable or not.
    std::size_t possible = 1;
};

/// Load that a peer puts on one endpoint.
struct peer_load {
    std::uint64_t replica = 0;
    placement::endpoint_load load;
};

/// What a node has learned of the speed of one endpoint.
struct learned_speed {
    std::uint64_t replica = 0;
    placement::endpoint_speed speed;
};

/// Names a team in messages between nodes.
using team_hash = std::uint64_t;
team_hash teamHash(const team_id& team);

/// Use of one team's quota.
struct quota_use {
    double taken = 0;
    double level = 0;
    double reserved = 0;
};

/// Names an endpoint in messages between nodes.
std::uint64_t replicaHash(const discovery::replica_id& id);

/// Takes callers' requests, decides where each goes by the configuration in force, and owns what runs.
class front {
public:
    front(boost::asio::io_context& context, const gateway_settings& settings, const protocol_codec& codec, http_client& client,
        decision_log& log, gateway_metrics& metrics);
    ~front();

    void handle(http_request request, std::shared_ptr<http_responder> responder);

    /// Takes over a newer configuration; false where it is not newer.
    bool setConfiguration(routing::fleet_routes routes);
    void setEndpoints(const std::map<discovery::replica_id, discovery::endpoint_record>& records);
    void setFleetSize(const fleet_size& size);
    /// Replaces all that the peer reported before.
    void setPeerLoads(const node_id& node, const std::vector<peer_load>& loads);
    void setPeerSpeeds(const node_id& node, const std::vector<learned_speed>& speeds);
    void removePeer(const node_id& node);
    void subtractPeerUsage(team_hash team, double units);
    /// Changes what the peers hold reserved of a team's quota.
    void addPeerReserved(team_hash team, double units);
    /// What a peer knows to be left of a team's quota; used once, and only by a process that has just started.
    void adoptQuota(team_hash team, double level);
    void startStopping(monotonic_time until);

    /// Deadlines, silent endpoints and waiting requests; call every few hundredths of a second while there are requests.
    void tick();
    /// The whole fleet started for the first time with this process.
    bool isFirstStart() const { return m_settings.isFirstStart; }
    bool isConfigured() const { return m_routes != nullptr; }
    config_version version() const;
    std::size_t active() const { return m_exchanges.size(); }
    const routing::route_table* routes() const { return m_routes.get(); }
    /// Load of this node for a report to the peers.
    std::vector<peer_load> reportLoads();
    /// Speeds that this node has learned: those that have changed notably since their last report, or all.
    std::vector<learned_speed> reportSpeeds(bool all);
    /// Units taken here and left in the fleet, by team: those whose use has changed since the last call, or all.
    std::map<team_hash, quota_use> reportUsage(bool all);

    // For the exchanges.
    void submit(const std::shared_ptr<exchange>& owner, placement::waiting_request request);
    void withdraw(const exchange& owner);
    void endpointProgress(const exchange& owner, std::size_t events);
    void endpointFinished(const exchange& owner, placement::outcome result, std::size_t events);
    duration patience(const exchange& owner) const;
    bool takeRepeat(const service_id& service);
    /// Counts the reserved units of a request as used: it was sent.
    void commitQuota(const team_id& team, double units);
    /// Returns the reserved units of a request that was not sent.
    void releaseQuota(const team_id& team, double units);
    void ended(const exchange& owner);
    const protocol_codec& codec() const { return m_codec; }
    http_client& client() { return m_client; }
    decision_log& log() { return m_log; }
    gateway_metrics& metrics() { return m_metrics; }

private:
    struct service_state {
        service_state(limits::repeat_budget initial, std::uint64_t seed)
            : pool(seed)
            , repeats(std::move(initial))
        {
        }
        placement::service_pool pool;
        limits::repeat_budget repeats;
        bool isDeciding = false;
    };

    service_state& service(const service_id& name);
    void configureQuota(const routing::team_definition& team, monotonic_time now);
    limits::shared_quota* quotaOf(team_hash team) const;
    limits::quota_limit quotaLimit(const routing::team_definition& team) const;
    limits::quota_nodes quotaNodes() const { return { m_fleet.reporting, m_fleet.possible }; }
    void decide(service_state& state);
    void scheduleDecision(const service_id& name);

    boost::asio::io_context& m_context;
    const gateway_settings& m_settings;
    const protocol_codec& m_codec;
    http_client& m_client;
    decision_log& m_log;
    gateway_metrics& m_metrics;
    std::shared_ptr<const routing::route_table> m_routes;
    std::map<std::string, std::unique_ptr<service_state>> m_services;
    std::map<std::string, limits::shared_quota> m_quotas;
    // The quotas again, by the names that messages use.
    std::map<team_hash, limits::shared_quota*> m_quotaByHash;
    std::map<team_hash, quota_use> m_reportedUsage;
    std::set<team_hash> m_adoptedQuotas;
    std::map<discovery::replica_id, discovery::endpoint_record> m_endpoints;
    std::unordered_map<std::uint64_t, discovery::replica_id> m_replicaByHash;
    std::unordered_map<std::uint64_t, std::shared_ptr<exchange>> m_exchanges;
    fleet_size m_fleet;
    monotonic_time m_started;
    random_source m_random;
    std::uint64_t m_nextId = 1;
    monotonic_time m_stopBegan {};
    std::optional<monotonic_time> m_stopsAt;
};

/// A refusal of this node; not run, and never will be.
http_response refusalResponse(unsigned status, std::string_view reason, std::optional<duration> retryAfter);

} // namespace carawaylink::gateway
