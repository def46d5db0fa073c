#pragma once

#include "crash_detector.h"
#include "decision_log.h"
#include "gateway/gateway_node.h"
#include "gateway/protocol_codec.h"
#include "http/client.h"
#include "http/server.h"
#include "limits/retry_budget.h"
#include "metrics.h"
#include "path_monitor.h"
#include "prompt_quarantine.h"
#include "routing/route_table.h"
#include "slot_coordinator.h"
#include "stream_versions.h"
#include "team_quotas.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <unordered_map>

namespace carawaylink::gateway {

class exchange;

/// Admits callers' requests, dispatches them to endpoints according to the current configuration, and owns the active exchanges.
class request_dispatcher {
public:
    request_dispatcher(boost::asio::io_context& context, const gateway_settings& settings, const protocol_codec& codec, http_client& client,
        decision_log& log, gateway_metrics& metrics);
    ~request_dispatcher();

    /// Limits the memory of the requests' messages; must outlive them.
    void setMemoryBudget(memory_budget* memory) { m_memory = memory; }
    void handle(http_request request, std::shared_ptr<http_responder> responder);

    /// Applies the configuration; returns false if it is not newer than the current one.
    bool setConfiguration(routing::fleet_configuration configuration);
    void setEndpoints(const std::map<discovery::replica_id, discovery::endpoint_record>& records);
    /// Sets the functions that send messages to other nodes and replace a connection that does not respond.
    void setPeerHandlers(std::function<void(const node_id&, peer::envelopeT)> send, std::function<void(const node_id&)> onOwnerSilent);
    /// Applies a change of the fleet's members.
    void setMembers(const fleet_members& members);
    /// Handles a message from another node; returns false if it is not about requests.
    bool receive(const node_id& sender, const peer::envelopeT& message);
    void loseConnection(const node_id& node) { m_slots.loseConnection(node); }
    /// Takes over the quarantine that the store holds.
    void restoreQuarantine(const std::vector<store_record>& records);
    /// Writes what the store has lost of the quarantine. records: what it holds.
    void rewriteQuarantine(const std::vector<store_record>& records);
    void restoreQuotaMarks(const std::vector<store_record>& records);
    void setQuotaStore(team_quotas::mark_writer writer) { m_quotas.setMarkWriter(std::move(writer)); }
    slot_coordinator& slots() { return m_slots; }
    stream_versions& streams() { return m_streams; }
    /// Names the route of a request to the service in its call to the owner of a pool; 0 if it is not needed.
    using route_marker = std::function<std::uint64_t(const service_id& service, const std::string& route)>;
    void setRouteMarker(route_marker marker) { m_routeMarker = std::move(marker); }
    /// Called when this node loses its path to all endpoints, and when it is back.
    void setOnPathChanged(std::function<void(bool isLost)> handler) { m_onPathChanged = std::move(handler); }
    void setQuarantineStore(prompt_quarantine::store_writer writer) { m_quarantine.setStore(std::move(writer)); }
    /// A node's process has ended.
    void removeNode(const node_id& node);
    void beginDrain(monotonic_time until);

    /// Enforces deadlines, detects unresponsive endpoints, places waiting requests and reports to other nodes; call every 25 ms.
    void tick();
    /// Updates the gauges that need a pass over endpoints; call about once per second.
    void updateGauges();
    /// Tells an operator where a request would go now, without sending it.
    http_response answerPlacementQuery(const http_request& query) const;
    /// Gives back slots of requests that have ended; call about once per second.
    void releaseUnknownSlots();
    bool isConfigured() const { return m_routes != nullptr; }
    config_version version() const;
    /// Requests that are not answered yet.
    std::size_t active() const { return m_exchanges.size() + m_waitingForVersion.size() + m_waitingForProbe.size(); }
    const routing::route_table* routes() const { return m_routes.get(); }
    // Called by exchanges.
    void submit(const std::shared_ptr<exchange>& source, placement::waiting_request request);
    void withdraw(const exchange& source);
    void recordProgress(const exchange& source, std::size_t events);
    void finishAttempt(const exchange& source, placement::outcome result, std::size_t events);
    /// A response of the endpoint named this request limit, or none. sentAt: when its request was sent.
    void recordRequestLimit(const exchange& source, const placement::grant& grant, std::optional<double> perSecond, monotonic_time sentAt);
    /// Endpoints of the service that say that they leave or have asked this node for rest.
    placement::notice_counts noticeCounts(const service_id& service) const { return m_slots.noticeCounts(service); }
    /// What else the endpoint's answer says of it.
    void recordNotice(const exchange& source, const placement::grant& grant, const response_metadata& answer);
    duration firstEventTimeout(const exchange& source) const;
    /// An endpoint of the service sent part of a response, or could not be reached.
    void recordPathAnswer(const service_id& service, bool isNewConnection);
    void recordPathFailure(const service_id& service, const placement::grant& grant) { pathTo(service).recordUnreachable(grant.address); }
    /// Whether failures at endpoints of the service may be those of the path from this node.
    bool isPathDoubtful(const service_id& service) { return pathTo(service).isDoubtful(); }
    bool tryTakeRetry(const service_id& service);
    /// An endpoint began to answer.
    void recordAnswer(const exchange& source);
    /// Whether the request must not reach another endpoint.
    bool isQuarantined(const exchange& source) const;
    /// An endpoint answered completely.
    void recordCompletion(const exchange& source);
    /// The connection to the endpoint was lost before its answer was complete.
    void recordLoss(const exchange& source, const placement::grant& grant, bool hasBegunToAnswer);
    /// Converts the reserved units of a request that was sent into usage.
    void commitQuota(const team_id& team, double units);
    /// Releases the reserved units of a request that was not sent.
    void releaseQuota(const team_id& team, double units);
    void onExchangeEnded(const exchange& source);
    memory_budget* memory() const { return m_memory; }
    const protocol_codec& codec() const { return m_codec; }
    http_client& client() { return m_client; }
    decision_log& log() { return m_log; }
    gateway_metrics& metrics() { return m_metrics; }

private:
    /// What was decided on a request before it is admitted.
    struct preliminary_decisions {
        /// Software that began the stream which the caller takes up.
        std::optional<streams::software_version> software;
        /// Number of the request if it was granted a probe.
        std::optional<std::uint64_t> probe;
    };
    /// A request that waits for such a decision.
    struct held_request {
        held_request(http_request asked, std::shared_ptr<http_responder> caller, std::string id, preliminary_decisions decided,
            memory_budget* memory, std::function<void()> endForMemory);

        http_request request;
        std::shared_ptr<http_responder> responder;
        std::string attempt;
        preliminary_decisions decisions;
        memory_budget::holding held;
    };

    void admit(http_request request, std::shared_ptr<http_responder> responder, preliminary_decisions decisions);
    /// Finds the version that began the stream which the caller takes up, and admits the request if that is known.
    void bindStream(http_request request, std::shared_ptr<http_responder> responder, const request_metadata& metadata,
        const routing::route& route, monotonic_time now);
    void onStreamFound(std::uint64_t id, const std::string& resumedAttempt, std::uint64_t lastEvent, const stream_binding& binding);
    void reject(http_responder& responder, const std::string& attempt, unsigned status, std::string_view reason,
        std::optional<duration> retryAfter);
    void askForProbe(http_request request, std::shared_ptr<http_responder> responder, const std::string& attempt,
        preliminary_decisions decisions, const prompt_quarantine::parts& probed, monotonic_time now);
    void onProbeDecided(std::uint64_t id, bool isGranted);
    limits::retry_budget& retryBudget(const service_id& service);
    void logQuarantined(const request_metadata& metadata, const prompt_quarantine::parts& parts, monotonic_time now);
    void logQuotaExceeded(const std::string& attempt, const routing::team_definition& team, double units, tier level, monotonic_time now);
    /// Sends a message to a node, which may be this one.
    void send(const node_id& node, peer::envelopeT message);
    void apply(const service_id& service, const placement::pool_decisions& decisions);
    /// Returns the exchange that the decision is for; logs the decision and returns nullptr if it has ended.
    std::shared_ptr<exchange> findExchange(std::uint64_t id, std::string_view decision);
    void logDeclined(const placement::declined_grant& declined);
    void logWait(const placement::wait_report& wait);
    path_monitor& pathTo(const service_id& service);
    /// Finds out whether endpoints can be reached from this node, and ends what waits for them in vain if they cannot.
    void updatePaths(monotonic_time now);
    void updatePath(const service_id& service, path_monitor& path, std::optional<monotonic_time> waitingSince, monotonic_time now);
    void logPath(const service_id& service, path_state before);
    void askPeersForPath(const service_id& service);
    void answerPathQuery(const node_id& node, const service_id& service);
    /// Connects to endpoints of the service; reports for each whether that succeeded.
    void probe(const std::vector<endpoint_id>& addresses, std::function<void(bool isConnected)> onResult);
    void endWithoutPath(const service_id& service, monotonic_time now);
    /// Ends the requests whose prompt parts are quarantined.
    void endQuarantined();

    const gateway_settings& m_settings;
    const protocol_codec& m_codec;
    http_client& m_client;
    decision_log& m_log;
    gateway_metrics& m_metrics;
    memory_budget* m_memory = nullptr;
    std::shared_ptr<const routing::route_table> m_routes;
    random_source m_random;
    node_id m_self;
    slot_coordinator m_slots;
    stream_versions m_streams;
    team_quotas m_quotas;
    prompt_quarantine m_quarantine;
    crash_detector m_crashes;
    /// By service: a node may have lost its path to the endpoints of one of them only.
    std::map<service_id, path_monitor> m_paths;
    bool m_isPathLost = false;
    std::function<void(bool isLost)> m_onPathChanged = [](bool) {};
    boost::asio::io_context& m_context;
    /// Expires with this object, before the work that the event loop still holds.
    std::shared_ptr<request_dispatcher*> m_alive;
    fleet_members m_noMembers;
    const fleet_members* m_members = &m_noMembers;
    std::map<service_id, limits::retry_budget> m_retryBudgets;
    std::function<void(const node_id&, peer::envelopeT)> m_send;
    /// Not set where orders of roll-outs are not in force.
    route_marker m_routeMarker;
    std::unordered_map<std::uint64_t, std::shared_ptr<exchange>> m_exchanges;
    std::map<std::uint64_t, held_request> m_waitingForProbe;
    std::map<std::uint64_t, held_request> m_waitingForVersion;
    fleet_size m_fleet;
    std::uint64_t m_nextId = 1;
    monotonic_time m_drainStartedAt {};
    std::optional<monotonic_time> m_drainDeadline;
};

/// Response for a request that this node refuses: it was not executed and will not be.
http_response refusalResponse(unsigned status, std::string_view reason, std::optional<duration> retryAfter);

} // namespace carawaylink::gateway
