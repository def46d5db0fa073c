#pragma once

#include "base/enum_table.h"
#include "base/ids.h"
#include "base/random.h"
#include "discovery/endpoint_table.h"
#include "placement/endpoint_health.h"
#include "placement/latency_model.h"
#include "placement/prefill_cost_model.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace carawaylink::placement {

using discovery::replica_id;

/// A request that waits for an endpoint.
struct waiting_request {
    std::uint64_t id = 0;
    /// Urgency of the team, which goes first, and of the route.
    carawaylink::tier teamTier { 0 };
    carawaylink::tier tier { 0 };
    tokens prompt { 0 };
    /// Expected output.
    tokens output { 0 };
    monotonic_time arrived;
    /// Latest time of the first event, or of the response, that counts as in time.
    monotonic_time target;
    /// Latest end of the response.
    monotonic_time deadline;
    /// Longest pause between events that counts as in time; zero for none.
    duration maxEventGap {};
    /// Endpoints that had the request already.
    std::vector<replica_id> excluded;
    /// A request that was already admitted once, here or after a refusal; goes before new ones of its tier.
    bool wasAdmitted = false;
    /// A part of its response has reached the caller; it is refused only when its time is over.
    bool responseStarted = false;
    /// Cannot be in time any more; set by the pool.
    bool isLate = false;
    /// Reading its prompt delays running responses too much on every endpoint; set by the pool.
    bool exceedsGapEverywhere = false;
    /// Its wait was reportedRunning; set by the pool.
    bool isReported = false;
};

/// Why a request waits: how many endpoints cannot take it, by the first reason that holds.
struct wait_report {
    std::uint64_t id = 0;
    duration waited {};
    std::size_t ahead = 0;
    /// Draining, failing, stalled or asked before.
    unsigned unusable = 0;
    /// No free slot or memory.
    unsigned full = 0;
    /// Reading the prompt would hold up the responses that run there.
    unsigned prefillBusy = 0;
    /// The first event would come too late.
    unsigned tooSlow = 0;
};

/// An endpoint that a request may be sent to now.
struct grant {
    std::uint64_t id = 0;
    replica_id replica;
    endpoint_id address;
    duration expectedFirstEvent {};
    unsigned running = 0;
};

enum class refusal_cause {
    /// No endpoint can answer before the deadline.
    deadline,
    /// The requests ahead need longer than this one can wait.
    queue,
    /// The service has no usable endpoint.
    no_endpoint,
};

inline constexpr auto refusalCauseNames = enumTable<refusal_cause>({
    { refusal_cause::deadline, "deadline" },
    { refusal_cause::queue, "queue" },
    { refusal_cause::no_endpoint, "no_endpoint" },
});

struct refusal {
    std::uint64_t id = 0;
    refusal_cause cause = refusal_cause::queue;
    /// When capacity is expected.
    duration retryAfter {};
    std::size_t ahead = 0;
};

/// Load that one node puts on an endpoint.
struct endpoint_load {
    unsigned running = 0;
    /// Reading that is remaining for requests without a first event, in tokens of short prompts.
    tokens pendingPrefill { 0 };
    /// Memory that the running requests are expected to need.
    tokens memory { 0 };
};

struct pool_limits {
    /// Memory of one engine; nothing for plain services.
    std::optional<tokens> memory;
    unsigned tokensPerEvent = 1;
};

struct pool_decisions {
    std::vector<grant> grants;
    std::vector<refusal> refusals;
    /// Requests that have begun to wait for long; once for each.
    std::vector<wait_report> waits;
};

/// Queue and placement of one service on one node. The other nodes' load is known from their reports; each node may always use its
/// own part of an endpoint's slots, and more while the others leave theirs free.
///
///     pool.submit(request);
///     for (const auto& granted : pool.decide(now).grants) send(granted);
class service_pool {
public:
    /// seed: of the choice among endpoints that are about equal.
    explicit service_pool(std::uint64_t seed = 0)
        : m_random(seed)
    {
    }

    void setLimits(const pool_limits& limits) { m_limits = limits; }
    void setEndpoints(const std::vector<discovery::endpoint_record>& records, monotonic_time now);
    /// rank: position of this node among the live ones.
    void setNodes(std::size_t rank, std::size_t count);
    void setPeerLoad(const node_id& node, const std::map<replica_id, endpoint_load>& loads);
    void removePeer(const node_id& node);
    /// What a peer has learned of an endpoint's speed.
    void setPeerSpeed(const node_id& node, const replica_id& replica, const endpoint_speed& speed);
    /// What this node has learned itself, of endpoints that it has used: what has changed notably since it was last reportedRunning, or all.
    std::map<replica_id, endpoint_speed> reportSpeeds(bool all);

    void submit(waiting_request request);
    /// Removes a request that still waits; false where it does not.
    bool withdraw(std::uint64_t id);
    /// Grants and refuses what can be decided now. A grant for a request that runs already ends its load at the endpoint before, as
    /// silent.
    pool_decisions decide(monotonic_time now);
    bool hasWaiting() const { return !m_waiting.empty(); }
    std::size_t waiting() const { return m_waiting.size(); }

    /// A part of the response to a running request arrived; events: whole events of it so far.
    void recordProgress(std::uint64_t id, std::size_t events, monotonic_time now);
    void recordOutcome(std::uint64_t id, outcome result, std::size_t events, monotonic_time now);
    /// Time within which the first event should have arrived by now at the latest.
    duration firstEventTimeout(std::uint64_t id) const;

    std::map<replica_id, endpoint_load> ownLoad() const;
    /// The load for a report to the peers; they count it as this node's until the next one.
    std::map<replica_id, endpoint_load> reportLoad();

private:
    struct endpoint_state {
        discovery::endpoint_record record;
        latency_model model;
        endpoint_health health;
        endpoint_load own;
        endpoint_load peers;
        /// What the peers count as this node's.
        unsigned reportedRunning = 0;
        endpoint_speed reportedSpeed;
        monotonic_time lastProgress {};
        bool isListed = true;

        // Of the whole fleet, as far as it is reportedRunning.
        unsigned running() const { return own.running + peers.running; }
        tokens pendingPrefill() const { return tokens { own.pendingPrefill.value + peers.pendingPrefill.value }; }
        tokens memory() const { return tokens { own.memory.value + peers.memory.value }; }
    };
    struct running_request {
        replica_id replica;
        tokens prompt;
        /// Reading of the prompt, in tokens of short prompts.
        tokens work;
        tokens memory;
        tokens prefillBefore;
        monotonic_time sent;
        std::optional<monotonic_time> firstEventAt;
        duration expectedFirstEvent;
        bool isEventRateRecorded = false;
    };
    struct recent_grant {
        monotonic_time time;
        carawaylink::tier teamTier;
        bool wasLate;
        carawaylink::tier tier;
    };
    struct candidate {
        endpoint_state* endpoint = nullptr;
        duration expectedFirstEvent {};
        double score = 0;
    };

    std::optional<candidate> chooseEndpoint(const waiting_request& request, bool inTime, monotonic_time now);
    bool hasCapacity(const endpoint_state& endpoint, const waiting_request& request) const;
    bool isUsable(const endpoint_state& endpoint, const waiting_request& request, monotonic_time now) const;
    bool isStalled(const endpoint_state& endpoint, monotonic_time now) const;
    bool keepsEventGap(const endpoint_state& endpoint, const waiting_request& request) const;
    /// Longest pause in milliseconds that running responses are expected to have while the prompt is read.
    double expectedEventGap(const endpoint_state& endpoint, const waiting_request& request, tokens pendingPrefill) const;
    bool exceedsGapOnAllEndpoints(const waiting_request& request, monotonic_time now) const;
    bool canBorrowSlot(const endpoint_state& endpoint) const;
    unsigned guaranteedSlots(const endpoint_state& endpoint) const;
    std::optional<duration> minTimeToFirstEvent(const waiting_request& request, monotonic_time now) const;
    double expectedEvents(const waiting_request& request) const;
    grant startRequest(const waiting_request& request, const candidate& chosen, monotonic_time now);
    std::optional<refusal> checkRefusal(const waiting_request& request, std::size_t ahead, monotonic_time now);
    duration timeToFinish(const latency_model& model, const waiting_request& request) const;
    bool canFinish(const waiting_request& request, monotonic_time now) const;
    bool canBeInTime(const waiting_request& request, monotonic_time now) const;
    duration expectedWait(const waiting_request& request, std::size_t ahead, monotonic_time now);
    wait_report explainWait(const waiting_request& request, std::size_t ahead, monotonic_time now) const;
    void updatePeerLoads();
    void updateModels(latency_model& model, const running_request& running, duration elapsed);
    endpoint_speed meanEndpointSpeed() const;
    double medianFailureRate() const;

    random_source m_random;
    pool_limits m_limits;
    prefill_cost_model m_prefillCost;
    std::map<replica_id, endpoint_state> m_endpoints;
    std::map<node_id, std::map<replica_id, endpoint_load>> m_peerLoads;
    std::unordered_map<std::uint64_t, running_request> m_running;
    std::vector<waiting_request> m_waiting;
    std::deque<recent_grant> m_recentGrants;
    std::size_t m_nodeIndex = 0;
    std::size_t m_nodeCount = 1;
    std::size_t m_reportCount = 0;
    double m_medianFailureRate = 1;
};

} // namespace carawaylink::placement
