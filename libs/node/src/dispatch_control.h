#pragma once

#include "dispatch_types.h"
#include "endpoint_directory.h"
#include "fleet_view.h"
#include "history.h"
#include "peer_mesh.h"
#include "pool_host.h"
#include "ticket_service.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace carawaylink {

/// Chooses an endpoint without an owner; used by the baseline policies.
using direct_placement = std::function<std::optional<endpoint_id>(const service_id&)>;

/// Messages between a home and a pool owner, shared by both sides.
wire::slot_requestT encodeSlotRequest(const dispatch_request& request, const pool_id& pool, monotonic_time now);
scheduling_request toSchedulingRequest(const dispatch_request& request, const node_id& home);
scheduling_request decodeSlotRequest(const wire::slot_requestT& message, const node_id& home, monotonic_time now);

/// The home's side of every request that waits for a slot or holds one: asks the pool's owner, records the intent of a ticket,
/// gives permission to dispatch and reports back to the owner. Runs on the control thread; callbacks are called there.
class dispatch_control {
public:
    dispatch_control(process_identity self, pool_host& host, peer_mesh& mesh, ticket_service& tickets, history& record);
    ~dispatch_control();

    /// Makes every request go to the endpoint that placement chooses, without asking an owner.
    void setDirectPlacement(direct_placement placement) { m_direct = std::move(placement); }
    /// Follows a change of configuration, members or endpoints; call after pool_host::update().
    void update(monotonic_time now, std::shared_ptr<const fleet_view> view, const endpoint_directory& directory);

    /// Asks for permission to dispatch; the callback is called exactly once, perhaps before this returns.
    void acquire(monotonic_time now, dispatch_request request, dispatch_callback callback);
    /// The caller left before the dispatch. Requests with a ticket go on, since the caller may come back with the ticket.
    void withdraw(monotonic_time now, const request_id& request);
    /// The dispatched request ended; answer is what a plain service said, kept for a retry with the same ticket.
    void finished(monotonic_time now, const slot_release& release, std::optional<repeat_answer> answer);

    /// A grant, refusal or preemption of a pool's owner.
    void deliver(monotonic_time now, const node_id& owner, const scheduling_action& action);
    void ownerRejected(monotonic_time now, const node_id& owner, const request_id& request);
    /// Messages to this owner may have been lost: reports everything again.
    void ownerConnected(monotonic_time now, const node_id& owner);
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
        stage at = stage::waiting;
        endpoint_id endpoint;
        monotonic_time sent {};
        std::optional<ticket> opened;
        bool redirected = false;
        /// Later requests with the same ticket.
        std::vector<dispatch_callback> attached;
    };
    struct ticket_record {
        request_id holder;
        endpoint_id endpoint;
        bool plainService = false;
        std::optional<repeat_answer> answer;
    };

    void acquireWithTicket(monotonic_time now, dispatch_request request, dispatch_callback callback);
    void attach(const claim& holder, const ticket& value, dispatch_callback callback);
    void acquireForeign(const ticket& value, const dispatch_request& request, dispatch_callback callback);
    void enqueue(monotonic_time now, dispatch_request request, dispatch_callback callback, std::optional<ticket> opened);
    void choosePool(pending_request& entry);
    void sendRequest(monotonic_time now, pending_request& entry);
    void granted(monotonic_time now, const node_id& owner, const slot_grant& grant);
    void refused(monotonic_time now, const node_id& owner, const slot_refusal& refused);
    void intentAnswered(const request_id& request, bool accepted);
    void permit(pending_request& entry);
    void refuse(const request_id& request, refusal reason);
    void reportRelease(monotonic_time now, const pending_request& entry, const slot_release& release);
    void returnSlot(monotonic_time now, const node_id& owner, const request_id& request, bool leaving);
    void remember(const ticket& value, ticket_record record);

    process_identity m_self;
    pool_host& m_host;
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
