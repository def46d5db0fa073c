#pragma once

#include "dispatch_types.h"
#include "endpoint_directory.h"
#include "fleet_view.h"
#include "history.h"
#include "peer_mesh.h"
#include "pool_manager.h"
#include "ticket_service.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace carawaylink {

/// Chooses an endpoint without asking a pool owner; used by the baseline policies.
using direct_placement = std::function<std::optional<endpoint_id>(const service_id&)>;

/// Conversion of requests for the messages between a home node and a pool owner.
wire::slot_requestT encodeSlotRequest(const dispatch_request& request, const pool_id& pool, monotonic_time now);
scheduling_request toSchedulingRequest(const dispatch_request& request, const node_id& home);
scheduling_request decodeSlotRequest(const wire::slot_requestT& message, const node_id& home, monotonic_time now);

/// Home-node side of scheduling, for all requests that wait for or hold a slot. The home is the node that accepted a request from its
/// caller, the owner the node that schedules the pool of its endpoints. Requests slots from the owner, records the intent of a ticket at
/// its witness, permits the dispatch and reports progress and releases to the owner. Runs on the control thread, which also runs the
/// callbacks.
class dispatch_control {
public:
    dispatch_control(process_identity self, pool_manager& poolManager, peer_mesh& mesh, ticket_service& tickets, history& eventHistory);
    ~dispatch_control();

    /// Dispatches every request to the endpoint chosen by placement, bypassing pool owners.
    void setDirectPlacement(direct_placement placement) { m_direct = std::move(placement); }
    /// Applies a change of configuration, members or endpoints. Must be called after pool_manager::update().
    void update(monotonic_time now, std::shared_ptr<const fleet_view> view, const endpoint_directory& directory);

    /// Requests permission to dispatch. The callback is called exactly once, possibly before this returns, unless the request is withdrawn.
    void acquire(monotonic_time now, dispatch_request request, dispatch_callback callback);
    /// Cancels a request whose caller disconnected before the dispatch. Requests with a ticket continue, since the caller may retry
    /// with the same ticket.
    void withdraw(monotonic_time now, const request_id& request);
    /// Reports the end of a dispatched request. The response is that of a plain service, stored for a retry with the same ticket.
    void finished(monotonic_time now, const slot_release& release, std::optional<stored_response> response);

    /// Handles a grant, refusal or preemption from the owner of a pool.
    void deliver(monotonic_time now, const node_id& owner, const scheduling_action& action);
    /// Handles the reply of a node that does not own the request's pool; the request is sent again after a short delay.
    void handleOwnerRejection(monotonic_time now, const node_id& owner, const request_id& request);
    /// Synchronizes all pools of this owner again, since messages to it may have been lost.
    void handleOwnerConnected(monotonic_time now, const node_id& owner);
    /// Sends the owner all requests of the pool that wait or hold a slot here.
    void sendSync(monotonic_time now, const node_id& owner, const pool_id& pool);
    void reportProgress();
    void tick(monotonic_time now);

    std::size_t pendingRequests() const { return m_pending.size(); }
    std::size_t dispatchedRequests() const;

private:
    enum class stage {
        waiting,
        intent,
        dispatched,
    };
    struct pending_request {
        dispatch_request request;
        dispatch_callback callback;
        pool_id pool;
        std::optional<node_id> owner;
        stage currentStage = stage::waiting;
        endpoint_id endpoint;
        monotonic_time sent {};
        std::optional<ticket> claimedTicket;
        bool redirected = false;
        /// Callbacks of later requests with the same ticket.
        std::vector<dispatch_callback> attachedCallbacks;
    };
    struct ticket_record {
        request_id holder;
        endpoint_id endpoint;
        bool plainService = false;
        std::optional<stored_response> response;
    };

    void acquireWithTicket(monotonic_time now, dispatch_request request, dispatch_callback callback);
    void attach(const claim& holder, const ticket& value, dispatch_callback callback);
    void acquireFromOtherHome(const ticket& value, const dispatch_request& request, dispatch_callback callback);
    void enqueue(monotonic_time now, dispatch_request request, dispatch_callback callback, std::optional<ticket> claimedTicket);
    void choosePool(pending_request& entry);
    void sendRequest(monotonic_time now, pending_request& entry);
    void handleGrant(monotonic_time now, const node_id& owner, const slot_grant& grant);
    void handleRefusal(monotonic_time now, const node_id& owner, const slot_refusal& slotRefusal);
    void handleIntentResult(const request_id& request, bool accepted);
    void permit(pending_request& entry);
    void refuse(const request_id& request, refusal reason);
    void reportRelease(monotonic_time now, const pending_request& entry, const slot_release& release);
    void returnSlot(monotonic_time now, const node_id& owner, const request_id& request, bool leaving);
    void storeRecord(const ticket& value, ticket_record record);

    process_identity m_self;
    pool_manager& m_poolManager;
    peer_mesh& m_mesh;
    ticket_service& m_tickets;
    history& m_history;
    direct_placement m_direct;
    std::shared_ptr<const fleet_view> m_view;
    std::map<service_id, std::vector<std::pair<pool_id, std::optional<node_id>>>> m_poolOwners;
    std::unordered_map<request_id, pending_request> m_pending;
    std::set<node_id> m_reportedOwners;
    std::map<ticket, ticket_record> m_records;
    std::deque<ticket> m_recordOrder;
    std::size_t m_recordBytes = 0;
};

} // namespace carawaylink
