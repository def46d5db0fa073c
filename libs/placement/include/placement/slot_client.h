#pragma once

#include "placement/recent_prompts.h"
#include "placement/slot_messages.h"

#include <map>
#include <unordered_map>

namespace carawaylink::placement {

/// A node's access to the endpoints of one service. Requests wait in the queues of the pools' owners, which grant the slots. While an
/// owner does not reply, this node decides itself and uses only its share of the slots. Does no I/O and reads no clock.
///
///     client.submit(request, now);
///     for (auto& entry : client.takeCalls(now)) send(entry.owner, entry.call);
///     client.receive(owner, reply, now);
///     for (const auto& granted : client.decide(now).grants) dispatch(granted);
class slot_client {
public:
    /// domain: failure domain of this node. run: identifies this run of the process among all runs of the node.
    slot_client(service_id service, failure_domain domain, std::uint32_t run, std::uint64_t seed);

    void setLimits(const pool_limits& limits) { m_local.setLimits(limits); }
    void setEndpoints(const std::vector<discovery::endpoint_record>& records, monotonic_time now);
    /// Sets the owner of each pool, by number. Waiting requests move to a new owner.
    void setOwners(const std::vector<std::optional<node_id>>& owners, monotonic_time now);
    /// Sets this node's share of the slots for decisions without an owner. rank: index of this node among count nodes.
    void setShare(std::size_t rank, std::size_t count);

    /// Sets what this node knows of the versions that may be used, unless an owner has told it of a later decision.
    void setVersionRules(const version_rules& rules);

    void submit(waiting_request request, monotonic_time now);
    /// Removes a waiting request; returns false if it is not waiting.
    bool withdraw(std::uint64_t id);
    /// Records that part of the response arrived. events: complete events so far.
    void recordProgress(std::uint64_t id, std::size_t events, monotonic_time now);
    void recordOutcome(std::uint64_t id, outcome result, std::size_t events, monotonic_time now);
    /// A response arrived that names this limit of the endpoint, or none; sentAt: when its request was sent. Returns whether the limit
    /// changed.
    bool recordRequestLimit(const replica_id& replica, std::optional<double> perSecond, monotonic_time sentAt, monotonic_time now);
    /// An answer of the endpoint said that it leaves, or that it accepts nothing from this node until then. Both return whether it is news.
    bool recordLeaving(const replica_id& replica, monotonic_time now);
    bool recordRest(const replica_id& replica, monotonic_time until, monotonic_time now);
    /// Time after which a running request without a first event is given up.
    duration firstEventTimeout(std::uint64_t id) const { return m_local.firstEventTimeout(id); }

    void receive(const node_id& owner, const slot_reply& reply, monotonic_time now);
    /// The owner's process has ended or its connection was lost.
    void loseOwner(const node_id& owner, monotonic_time now);
    /// Returns the decisions of the owners since the last call, and those that this node makes itself: one at most for each submission, and
    /// none for a request that was withdrawn. A grant for a request that is already running releases its slot at the previous endpoint
    /// with the outcome timed_out. Call at least every 25 ms.
    pool_decisions decide(monotonic_time now);
    /// Returns the calls to send now.
    std::vector<addressed_call> takeCalls(monotonic_time now);

    /// Whether a call should be sent before the next tick.
    bool hasUrgentCalls() const { return m_hasUrgentCalls; }
    /// Ids of the requests that wait or run; one that does both appears twice.
    std::vector<std::uint64_t> requests() const;
    bool hasWaiting() const { return !m_waiting.empty(); }
    std::size_t waitingCount() const { return m_waiting.size(); }
    /// Whether this node decides itself because the owner of a pool does not reply.
    bool isOwnerSilent(std::uint32_t pool) const { return m_links.at(pool).isSilent; }
    std::uint32_t pools() const { return static_cast<std::uint32_t>(m_links.size()); }
    /// Endpoints and speeds as known to this node.
    const service_pool& local() const { return m_local; }

private:
    /// The session with the owner of one pool.
    struct owner_link {
        std::optional<node_id> owner;
        std::uint64_t session = 0;
        std::uint32_t lastCall = 0;
        std::uint32_t lastReply = 0;
        bool isOpen = false;
        /// The owner does not reply; calls are only sent to find out when it does again.
        bool isSilent = false;
        /// Time and number of the first call whose reply is outstanding.
        std::optional<monotonic_time> awaitingSince;
        std::uint32_t awaitedCall = 0;
        monotonic_time lastCallAt {};
        monotonic_time nextOpenAt {};
        pool_load load;
        slot_call next;
    };
    struct waiting_entry {
        waiting_request request;
        /// Pool in whose queue the request waits; nullopt for the queue of this node.
        std::optional<std::uint32_t> pool;
        monotonic_time since {};
    };
    /// Decisions of a reply, until the next decide().
    struct received_decisions {
        std::uint32_t pool = 0;
        std::uint64_t session = 0;
        std::vector<slot_grant> grants;
        std::vector<refusal> refusals;
        std::vector<wait_report> waitReports;
    };
    struct running_entry {
        adopted_request request;
        std::uint32_t pool = 0;
        std::size_t events = 0;
        std::size_t reportedEvents = 0;
    };

    std::uint32_t poolOfReplica(const replica_id& replica) const;
    std::optional<std::uint32_t> choosePool(const waiting_request& request) const;
    /// Of the pools with a usable owner and endpoints of the version, the one with most of them.
    std::optional<std::uint32_t> choosePoolOf(const std::string& version) const;
    bool isUsable(const owner_link& link) const { return link.owner && !link.isSilent; }
    void enqueue(waiting_request request, monotonic_time now);
    void enqueueLocally(waiting_request request);
    /// Moves the requests that wait in this node's own queue to the owners.
    void returnToOwners(monotonic_time now);
    /// Moves a request from the queue of a full pool to another pool that has room.
    void rebalance(monotonic_time now);
    /// Reports with the next call that the request no longer holds its slot.
    static void release(owner_link& link, const outcome_report& report);
    /// Ends the session; the next one lists everything anew.
    void close(owner_link& link);
    void markSilent(std::uint32_t pool, monotonic_time now);
    bool isWaitingIn(std::optional<std::uint32_t> pool, std::uint64_t id) const;
    /// Drops what this node received before a pause of its process, during which another owner may have taken over.
    void resumeAfterPause(monotonic_time now);
    void applyReceived(pool_decisions& decisions, monotonic_time now);
    void applyOwn(pool_decisions& decisions, monotonic_time now);
    void startOwn(const grant& granted);
    /// Adds the grant to the decisions if it can be used; otherwise its slot is given back.
    void accept(std::uint32_t pool, const slot_grant& entry, pool_decisions& decisions, monotonic_time now);
    /// Why this node does not use a grant of the endpoint; nullopt if it does.
    std::optional<unusable_reason> whyDeclined(const replica_id& replica, const waiting_request& request, monotonic_time now) const;
    /// Does not use the grant of a waiting request, tells the owner why, and lets the request wait for another endpoint.
    void decline(std::uint32_t pool, const declined_grant& declined, monotonic_time now);
    /// Tells the owner of the endpoint's pool with the next call what the endpoint has said of itself.
    void reportNotice(const replica_id& replica, monotonic_time now);
    std::optional<notice_report> noticeOf(const replica_id& replica, monotonic_time now) const;
    void rejectGrant(std::uint32_t pool, std::uint64_t id);
    void startRunning(const waiting_request& request, const grant& granted, std::uint32_t pool);
    void detectSilentOwners(monotonic_time now);
    bool wasPaused(monotonic_time now) const;
    bool isIdle(std::uint32_t pool) const;
    /// Number of requests that run in the pool.
    std::uint32_t heldIn(std::uint32_t pool) const;
    void openSession(std::uint32_t pool, monotonic_time now);
    void collectProgress(std::uint32_t pool);
    std::optional<slot_call> nextCall(std::uint32_t pool, monotonic_time now);

    service_id m_service;
    failure_domain m_domain;
    service_pool m_local;
    std::vector<owner_link> m_links;
    std::map<replica_id, std::uint32_t> m_poolByReplica;
    /// Number of endpoints that accept requests, by version and pool.
    std::map<std::string, std::vector<std::size_t>> m_endpointsByVersion;
    std::unordered_map<std::uint64_t, waiting_entry> m_waiting;
    std::unordered_map<std::uint64_t, running_entry> m_running;
    std::vector<received_decisions> m_received;
    recent_prompts m_recentPrompts;
    std::size_t m_rank = 0;
    std::uint64_t m_lastSession;
    bool m_hasUrgentCalls = false;
    std::optional<monotonic_time> m_lastActiveAt;
    monotonic_time m_lastRebalanceAt {};
};

} // namespace carawaylink::placement
