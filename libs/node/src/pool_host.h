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

/// The pools of a service and their endpoints; the same on every node that sees the same list of vms.
std::map<pool_id, std::vector<endpoint_id>> computePools(const fleet_view& view, const endpoint_directory& directory);

/// Hosts the schedulers of the pools that this node owns. Runs on the control thread.
class pool_host {
public:
    struct handlers {
        /// Delivers an action to the home of its request, which may be this node.
        std::function<void(const node_id& home, const scheduling_action& action)> deliver;
        /// Tells a home that this node does not own the pool of its request.
        std::function<void(const node_id& home, const request_id& request)> rejectOwner;
        std::function<void(const node_id& peer, const pool_id& pool)> requestSync;
        /// Asks for load reports of the endpoints of the owned pools now.
        std::function<void()> pollEndpoints;
    };

    pool_host(node_id self, duration syncWait, duration grantLifetime, history& record, handlers callbacks);
    ~pool_host();

    /// Takes over pools that this node now owns and gives up the others.
    void update(monotonic_time now, const fleet_view& view, const endpoint_directory& directory);

    void submit(monotonic_time now, const pool_id& pool, scheduling_request request);
    void cancel(monotonic_time now, const node_id& home, const request_id& request);
    /// Everything that a home still runs here; grants of it that the list leaves out are freed.
    void progress(monotonic_time now, const node_id& home, const std::vector<slot_progress>& entries);
    void release(monotonic_time now, const slot_release& release);
    void sync(monotonic_time now, const node_id& home, const pool_id& pool, std::vector<scheduling_request> waiting,
        std::vector<std::tuple<scheduling_request, endpoint_id, tokens>> outstanding, bool complete);
    void homeLost(monotonic_time now, const node_id& home);
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
    struct hosted_pool;
    struct granted_slot {
        node_id home;
        monotonic_time since;
    };
    struct known_request {
        pool_id pool;
        node_id home;
        tier level;
        monotonic_time deadline;
    };

    /// Asks the homes that were not asked yet what they run in a pool that is not ready.
    void askHomes(hosted_pool& pool, const fleet_view& view);
    void becomeReadyWhereSynced(hosted_pool& pool, monotonic_time now);
    void perform(hosted_pool& pool, monotonic_time now, const std::vector<scheduling_action>& actions);
    hosted_pool* poolOf(const request_id& request);
    void dropUnlisted(hosted_pool& pool, monotonic_time now, const node_id& home);
    /// Notes in the history that requests ended here without a release by their home.
    void recordEnds(std::string_view outcome, const std::function<bool(const known_request&)>& concerned);
    void becomeReady(hosted_pool& pool, monotonic_time now);

    node_id m_self;
    duration m_syncWait;
    duration m_grantLifetime;
    history& m_history;
    handlers m_handlers;
    std::map<pool_id, std::unique_ptr<hosted_pool>> m_pools;
    std::unordered_map<request_id, known_request> m_requests;
};

} // namespace carawaylink
