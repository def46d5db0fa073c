#pragma once

#include "decision_log.h"
#include "gateway/gateway_node.h"
#include "gateway/protocol_codec.h"
#include "http/client.h"
#include "http/server.h"
#include "limits/retry_budget.h"
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

/// Node counts of the fleet as known to this node.
struct fleet_size {
    /// Rank of this node among the live nodes, by address.
    std::size_t rank = 0;
    /// Nodes that accept callers, including this one.
    std::size_t live = 1;
    /// Nodes whose quota usage is reported, including this one and draining nodes.
    std::size_t reporting = 1;
    /// Nodes that may be running, including unreachable ones.
    std::size_t possible = 1;
};

/// Load that a peer causes on one endpoint.
struct peer_load {
    std::uint64_t replica = 0;
    placement::endpoint_load load;
};

/// Speed of one endpoint as measured by a node.
struct measured_speed {
    std::uint64_t replica = 0;
    placement::endpoint_speed speed;
};

/// Identifies a team in messages between nodes.
using team_hash = std::uint64_t;
team_hash teamHash(const team_id& team);

/// Usage of one team's quota, in quota units.
struct quota_usage {
    double used = 0;
    double remaining = 0;
    double reserved = 0;
};

/// Identifies an endpoint in messages between nodes.
std::uint64_t replicaHash(const discovery::replica_id& id);

/// Admits callers' requests, dispatches them to endpoints according to the current configuration, and owns the active exchanges.
class request_dispatcher {
public:
    request_dispatcher(boost::asio::io_context& context, const gateway_settings& settings, const protocol_codec& codec, http_client& client,
        decision_log& log, gateway_metrics& metrics);
    ~request_dispatcher();

    void handle(http_request request, std::shared_ptr<http_responder> responder);

    /// Applies the configuration; returns false if it is not newer than the current one.
    bool setConfiguration(routing::fleet_configuration configuration);
    void setEndpoints(const std::map<discovery::replica_id, discovery::endpoint_record>& records);
    void setFleetSize(const fleet_size& size);
    /// Replaces all loads that the peer reported before.
    void setPeerLoads(const node_id& node, const std::vector<peer_load>& loads);
    void setPeerSpeeds(const node_id& node, const std::vector<measured_speed>& speeds);
    void removePeer(const node_id& node);
    void addPeerUsage(team_hash team, double units);
    /// Adds to the units of a team's quota that peers hold reserved; negative units release them.
    void addPeerReserved(team_hash team, double units);
    /// Adopts the remaining units of a team's quota as reported by a peer; effective once per team and only shortly after process start.
    void adoptQuota(team_hash team, double remaining);
    void beginDrain(monotonic_time until);

    /// Enforces deadlines, detects unresponsive endpoints and places waiting requests; call every few tens of milliseconds.
    void tick();
    /// Whether the whole fleet started for the first time with this process.
    bool isFirstStart() const { return m_settings.isFirstStart; }
    bool isConfigured() const { return m_routes != nullptr; }
    config_version version() const;
    std::size_t active() const { return m_exchanges.size(); }
    const routing::route_table* routes() const { return m_routes.get(); }
    /// Load of this node, for a report to the peers.
    std::vector<peer_load> reportLoads();
    /// Speeds measured by this node: those that changed notably since their last report, or all.
    std::vector<measured_speed> reportSpeeds(bool all);
    /// Quota usage by team: teams whose usage changed since the last call, or all.
    std::map<team_hash, quota_usage> reportUsage(bool all);

    // Called by exchanges.
    void submit(const std::shared_ptr<exchange>& source, placement::waiting_request request);
    void withdraw(const exchange& source);
    void recordProgress(const exchange& source, std::size_t events);
    void finishAttempt(const exchange& source, placement::outcome result, std::size_t events);
    duration firstEventTimeout(const exchange& source) const;
    bool tryTakeRetry(const service_id& service);
    /// Converts the reserved units of a request that was sent into usage.
    void commitQuota(const team_id& team, double units);
    /// Releases the reserved units of a request that was not sent.
    void releaseQuota(const team_id& team, double units);
    void onExchangeEnded(const exchange& source);
    const protocol_codec& codec() const { return m_codec; }
    http_client& client() { return m_client; }
    decision_log& log() { return m_log; }
    gateway_metrics& metrics() { return m_metrics; }

private:
    struct service_state {
        service_state(limits::retry_budget initial, std::uint64_t seed)
            : pool(seed)
            , retryBudget(std::move(initial))
        {
        }
        placement::service_pool pool;
        limits::retry_budget retryBudget;
        bool isDecisionScheduled = false;
    };

    service_state& service(const service_id& name);
    void configureQuota(const routing::team_definition& team, monotonic_time now);
    limits::shared_quota* findQuota(team_hash team) const;
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
    // Index of m_quotas by the ids used in peer messages.
    std::map<team_hash, limits::shared_quota*> m_quotaByHash;
    std::map<team_hash, quota_usage> m_reportedUsage;
    std::set<team_hash> m_adoptedQuotas;
    std::map<discovery::replica_id, discovery::endpoint_record> m_endpoints;
    std::unordered_map<std::uint64_t, discovery::replica_id> m_replicaByHash;
    std::unordered_map<std::uint64_t, std::shared_ptr<exchange>> m_exchanges;
    fleet_size m_fleet;
    monotonic_time m_startedAt;
    random_source m_random;
    std::uint64_t m_nextId = 1;
    monotonic_time m_drainStartedAt {};
    std::optional<monotonic_time> m_drainDeadline;
};

/// Response for a request that this node refuses: it was not executed and will not be.
http_response refusalResponse(unsigned status, std::string_view reason, std::optional<duration> retryAfter);

} // namespace carawaylink::gateway
