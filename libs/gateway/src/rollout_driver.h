#pragma once

#include "decision_log.h"
#include "metrics.h"
#include "rollout/decider.h"
#include "slot_coordinator.h"
#include "store_sync.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace carawaylink::gateway {

/// Whether the status was written for the order.
bool concerns(const rollout::status& status, const rollout::order& order);

/// Carries out the operator's orders to move services to another version: keeps what this node knows of each order, sets the versions that
/// it and its pools may use, reports evidence to the node that decides, and decides itself where it owns pool 0 of the service. Runs on
/// one event loop.
class rollout_driver {
public:
    struct handlers {
        std::function<void(const node_id& node, peer::envelopeT message)> send;
        std::function<void(const service_status&, std::uint64_t at, std::function<void(std::optional<append_result>)>)> append;
        std::function<store_sync::status_position()> statusPosition;
        std::function<void()> readStatus;
        std::function<std::string(rollout::route_hash)> routeName;
        std::function<bool(const service_id&)> isServiceKnown;
    };

    rollout_driver(node_id self, const rollout::exposure_bound& bound, std::uint64_t run, decision_log& log, gateway_metrics& metrics,
        slot_coordinator& slots, handlers callbacks);

    void setOrder(const rollout::order& order, monotonic_time now);
    void setStatus(const service_status& status, monotonic_time now);
    /// Rules that another node passes on or decides for the pools of this one.
    void receive(const peer::rollout_rulesT& rules, monotonic_time now);
    void receive(const peer::rollout_reportT& report, monotonic_time now);
    /// Call every 25 ms.
    void tick(monotonic_time now);

    /// Hash of the route while an order to the service is undecided; 0 otherwise.
    rollout::route_hash routeOf(const service_id& service, const std::string& route) const;
    bool decides() const;
    bool hasOpenOrders() const;
    /// Rules that nodes without the store must know.
    std::vector<peer::rollout_rulesT> rulesToPassOn(monotonic_time now) const;
    /// What this node knows of the order to a service, and the node that decides on it; nullopt without an order.
    std::optional<service_status> statusOf(const service_id& service, monotonic_time now) const;
    std::optional<node_id> deciderOf(const service_id& service) const;

private:
    struct pool_report {
        std::uint64_t requests = 0;
        std::size_t runningOld = 0;
        rollout::evidence total;
        rollout::evidence recent;
        monotonic_time receivedAt {};
    };
    struct service_state {
        std::optional<rollout::order> order;
        /// The order itself was not read.
        bool isOrderFromStatus = false;
        /// Rules that stay in force during an order with a fault.
        placement::version_rules rulesBefore;
        /// Versions besides the target that are not used, see rollout::status::excluded.
        std::vector<std::string> excluded;
        monotonic_time orderedAt {};
        monotonic_time changedAt {};
        std::optional<rollout::status> status;
        monotonic_time statusAt {};
        /// Rules by others: passed on, or decided for the pools of this node.
        placement::version_rules received;
        double receivedShare = 0;
        monotonic_time receivedAt {};
        /// What the owned pools of this node have seen, and what the owners of the others report.
        std::map<std::uint32_t, rollout::evidence_collector> collectors;
        std::map<std::uint32_t, pool_report> reports;
        std::unique_ptr<rollout::decider> decider;
        unsigned freshStarts = 0;
        std::optional<monotonic_time> ownsSince;
        std::uint64_t term = 0;
        std::uint32_t sequence = 0;
        placement::version_use use = placement::version_use::old_only;
        rollout::stage loggedStage = rollout::stage::waiting;
        bool isAppending = false;
        monotonic_time writeStartedAt {};
        /// Position of the newest known status of the service, with its history.
        std::uint64_t statusOffset = 0;
        /// Rules that this node decides, and the share of the target in pools of other owners.
        placement::version_rules ownRules;
        double poolShare = 0;
        bool hasAppliedRules = false;
        /// The result of an append is unknown or was a conflict: nothing is written before a read that began after this.
        monotonic_time readNeededSince {};
        monotonic_time nextStepAt {};
        monotonic_time nextReportAt {};
        /// Bumped by each order, so that answers to appends for an earlier one are ignored.
        std::uint64_t generation = 0;
    };

    void takeOrderFromStatus(const service_id& name, service_state& state, monotonic_time now);
    void startOrder(service_state& state, const rollout::order& order, monotonic_time now);
    bool isOpen(const service_state& state) const;
    bool isFinal(const service_state& state) const;
    bool mayDecide(const service_id& name, service_state& state, monotonic_time now);
    void collect(const service_id& name, service_state& state, monotonic_time now);
    void decide(const service_id& name, service_state& state, monotonic_time now);
    void write(const service_id& name, service_state& state, const rollout::status& record, monotonic_time now);
    void onAppended(const service_id& name, std::uint64_t generation, const rollout::status& record, std::uint64_t at,
        const std::optional<append_result>& result);
    rollout::fleet_view viewOf(const service_id& name, const service_state& state, monotonic_time now) const;
    void confirm(service_state& state, const rollout::status& record, std::uint64_t offset, monotonic_time now);
    void report(const service_id& name, service_state& state, monotonic_time now);
    void logStep(const service_id& name, service_state& state, const rollout::fleet_view& view, monotonic_time now);
    /// What this node knows without deciding itself.
    placement::version_rules knownRules(const service_id& name, const service_state& state) const;
    /// Whether the endpoint belongs to a version that the order replaces.
    static bool isOld(const service_state& state, const discovery::endpoint_record& endpoint);
    static bool isExcluded(const service_state& state, const std::string& version);
    static std::vector<std::string> excludedAfter(const service_state& state, const std::string& target);
    bool hasOldEndpoint(const service_id& name, const service_state& state) const;
    void applyRules(const service_id& name, service_state& state, monotonic_time now);
    std::vector<discovery::replica_id> canaries(const service_id& name, const std::string& target, std::size_t count) const;

    node_id m_self;
    rollout::exposure_bound m_bound;
    std::string m_process;
    decision_log& m_log;
    gateway_metrics& m_metrics;
    slot_coordinator& m_slots;
    handlers m_handlers;
    monotonic_time m_startedAt;
    std::map<service_id, service_state> m_services;
    monotonic_time m_lastTickAt {};
    /// End of the log of statuses with its history, as far as answers to appends tell.
    std::uint64_t m_statusEnd = 0;
    /// Expires with this object, before the answers to appends.
    std::shared_ptr<rollout_driver*> m_alive;
};

} // namespace carawaylink::gateway
