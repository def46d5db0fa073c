#pragma once

#include "dispatch_types.h"
#include "endpoint_directory.h"
#include "fleet_view.h"
#include "history.h"
#include "membership/ownership.h"
#include "scheduling/pool_scheduler.h"
#include "wire/frame.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace carawaylink {

/// Assigns the endpoints of all services to pools. Nodes with the same list of vms get the same result.
std::map<pool_id, std::vector<endpoint_id>> computePools(const fleet_view& view, const endpoint_directory& directory);

/// Runs the schedulers of the pools owned by this node. Runs on the control thread.
class pool_manager {
public:
    struct handlers {
        /// Delivers an action to the home node of its request, which may be this node.
        std::function<void(const node_id& home, const scheduling_action& action)> deliver;
        /// Tells a home node that this node does not own the pool of its request.
        std::function<void(const node_id& home, const request_id& request)> rejectOwner;
        /// Requests from a node all its requests that wait for or hold a slot of the pool.
        std::function<void(const node_id& peer, const pool_id& pool)> requestSync;
        /// Polls the load reports of the endpoints of all owned pools immediately.
        std::function<void()> pollEndpoints;
    };

    pool_manager(node_id self, duration syncWait, duration grantLifetime, history& eventHistory, handlers callbacks);
    ~pool_manager();

    /// Takes over the pools that this node now owns and drops those it no longer owns.
    void update(monotonic_time now, const fleet_view& view, const endpoint_directory& directory);

    void submit(monotonic_time now, const pool_id& pool, scheduling_request request);
    void cancel(monotonic_time now, const node_id& home, const request_id& request);
    /// Handles the complete list of requests that a home runs here. Slots granted to that home for requests missing from the list are
    /// freed.
    void handleProgress(monotonic_time now, const node_id& home, const std::vector<slot_progress>& entries);
    void release(monotonic_time now, const slot_release& release);
    /// Handles a part of a home's list of requests in a pool; complete is true for its last part.
    void sync(monotonic_time now, const node_id& home, const pool_id& pool, std::vector<scheduling_request> waiting,
        std::vector<std::tuple<scheduling_request, endpoint_id, tokens>> granted, bool complete);
    void handleHomeFailure(monotonic_time now, const node_id& home);
    void markLeaving(const endpoint_id& endpoint);
    void observe(monotonic_time now, const load_report& report);
    void observe(std::span<const cache_event> events);
    void tick(monotonic_time now);

    /// Endpoints of the owned pools.
    std::vector<endpoint_id> ownedEndpoints() const;
    std::optional<std::string> explain(const request_id& request) const;

    struct owned_pool_status {
        pool_id pool;
        pool_status status;
        std::vector<endpoint_status> endpoints;
        bool ready = false;
    };
    std::vector<owned_pool_status> status(monotonic_time now) const;

private:
    struct managed_pool;
    struct granted_slot {
        node_id home;
        monotonic_time since;
    };
    struct tracked_request {
        pool_id pool;
        node_id home;
        tier level;
        monotonic_time deadline;
    };

    /// Requests the state of a pool that is not ready from the home nodes that have not been asked yet.
    void requestMissingSyncs(managed_pool& pool, const fleet_view& view);
    /// Marks the pool as ready if all homes and endpoints have reported.
    void markReadyIfSynced(managed_pool& pool, monotonic_time now);
    void applyActions(managed_pool& pool, monotonic_time now, const std::vector<scheduling_action>& actions);
    managed_pool* poolOf(const request_id& request);
    void dropUnlistedRequests(managed_pool& pool, monotonic_time now, const node_id& home);
    /// Records in the history that requests ended here without a release from their home.
    void recordReleases(std::string_view outcome, const std::function<bool(const tracked_request&)>& isAffected);
    void markReady(managed_pool& pool, monotonic_time now);

    node_id m_self;
    duration m_syncWait;
    duration m_grantLifetime;
    history& m_history;
    handlers m_handlers;
    std::map<pool_id, std::unique_ptr<managed_pool>> m_pools;
    std::unordered_map<request_id, tracked_request> m_requests;
};

} // namespace carawaylink
