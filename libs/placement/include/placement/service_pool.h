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

/// A request waiting for an endpoint.
struct waiting_request {
    std::uint64_t id = 0;
    /// Priorities of the team, which is compared first, and of the route.
    carawaylink::tier teamTier { 0 };
    carawaylink::tier tier { 0 };
    tokens prompt { 0 };
    /// Expected output length.
    tokens output { 0 };
    monotonic_time arrived;
    /// Latest time at which the first event, or the response, meets its latency target.
    monotonic_time target;
    /// Latest time at which the response may end.
    monotonic_time deadline;
    /// Maximum gap between events that meets the target; zero for none.
    duration maxEventGap {};
    /// Endpoints that the request was already sent to.
    std::vector<replica_id> excluded;
    /// True for a request that was admitted before, by this node or after a refusal; ordered before new ones of its tier.
    bool wasAdmitted = false;
    /// True if part of the response has reached the caller; such a request is not refused before its deadline.
    bool responseStarted = false;
    /// True if no endpoint can meet the target; updated by the pool.
    bool isLate = false;
    /// True if prefilling its prompt would exceed the event gap of running responses on every endpoint; set by the pool.
    bool exceedsGapEverywhere = false;
    /// True if a wait report was issued; set by the pool.
    bool isReported = false;
};

/// Why a request waits: number of endpoints that cannot take it, counted by the first reason that applies.
struct wait_report {
    std::uint64_t id = 0;
    duration waited {};
    std::size_t ahead = 0;
    /// Draining, failing, stalled or already tried.
    unsigned unusable = 0;
    /// No free slot or memory.
    unsigned full = 0;
    /// Prefilling the prompt would exceed the event gap of the responses running there.
    unsigned prefillBusy = 0;
    /// The first event would miss the target, or the response its deadline.
    unsigned tooSlow = 0;
};

/// Permission to send a request to an endpoint now.
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
    /// The queue ahead takes longer than the request can wait.
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
    /// Time until capacity is expected.
    duration retryAfter {};
    std::size_t ahead = 0;
};

/// Load that one node places on an endpoint.
struct endpoint_load {
    unsigned running = 0;
    /// Pending prefill of requests without a first event, in tokens of short prompts.
    tokens pendingPrefill { 0 };
    /// Expected memory of the running requests.
    tokens memory { 0 };
};

struct pool_limits {
    /// KV cache capacity of one engine; not set for plain services.
    std::optional<tokens> memory;
    unsigned tokensPerEvent = 1;
};

struct pool_decisions {
    std::vector<grant> grants;
    std::vector<refusal> refusals;
    /// Requests that have just exceeded the wait report threshold; reported once each.
    std::vector<wait_report> waitReports;
};

/// Queue and placement of one service on one node. The load of other nodes is known from their reports. Each node can always use its own
/// share of an endpoint's slots, and more while the other nodes leave theirs free.
///
///     pool.submit(request);
///     for (const auto& granted : pool.decide(now).grants) send(granted);
class service_pool {
public:
    /// seed: for the random choice among endpoints with similar scores.
    explicit service_pool(std::uint64_t seed = 0)
        : m_random(seed)
    {
    }

    void setLimits(const pool_limits& limits) { m_limits = limits; }
    void setEndpoints(const std::vector<discovery::endpoint_record>& records, monotonic_time now);
    /// rank: index of this node among the live ones.
    void setNodes(std::size_t rank, std::size_t count);
    void setPeerLoad(const node_id& node, const std::map<replica_id, endpoint_load>& loads);
    void removePeer(const node_id& node);
    /// Sets a peer's latency estimate for an endpoint.
    void setPeerSpeed(const node_id& node, const replica_id& replica, const endpoint_speed& speed);
    /// Estimates of endpoints that this node has used: all, or those that have changed significantly since the last report.
    std::map<replica_id, endpoint_speed> reportSpeeds(bool all);

    void submit(waiting_request request);
    /// Removes a waiting request; returns false if it is not waiting.
    bool withdraw(std::uint64_t id);
    /// Grants and refuses what can be decided now. A grant for a request that is already running releases its load at the previous endpoint
    /// with the outcome timed_out.
    pool_decisions decide(monotonic_time now);
    bool hasWaiting() const { return !m_waiting.empty(); }
    std::size_t waitingCount() const { return m_waiting.size(); }

    /// Records that part of the response arrived. events: complete events so far.
    void recordProgress(std::uint64_t id, std::size_t events, monotonic_time now);
    void recordOutcome(std::uint64_t id, outcome result, std::size_t events, monotonic_time now);
    /// Time after which a running request without a first event is given up.
    duration firstEventTimeout(std::uint64_t id) const;

    std::map<replica_id, endpoint_load> ownLoad() const;
    /// The load to report to the peers, which count it as this node's until the next report.
    std::map<replica_id, endpoint_load> reportLoad();

private:
    struct endpoint_state {
        discovery::endpoint_record record;
        latency_model model;
        endpoint_health health;
        endpoint_load own;
        endpoint_load peers;
        /// Running requests that the peers count as this node's.
        unsigned reportedRunning = 0;
        endpoint_speed reportedSpeed;
        monotonic_time lastProgress {};
        bool isListed = true;

        // Totals over the fleet, as far as reported.
        unsigned running() const { return own.running + peers.running; }
        tokens pendingPrefill() const { return tokens { own.pendingPrefill.value + peers.pendingPrefill.value }; }
        tokens memory() const { return tokens { own.memory.value + peers.memory.value }; }
    };
    struct running_request {
        replica_id replica;
        tokens prompt;
        /// Prefill work of the prompt, in tokens of short prompts.
        tokens work;
        tokens memory;
        tokens queuedPrefill;
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

    std::optional<candidate> chooseEndpoint(const waiting_request& request, bool mustMeetTarget, monotonic_time now);
    bool hasCapacity(const endpoint_state& endpoint, const waiting_request& request) const;
    bool isUsable(const endpoint_state& endpoint, const waiting_request& request, monotonic_time now) const;
    bool isStalled(const endpoint_state& endpoint, monotonic_time now) const;
    bool keepsEventGap(const endpoint_state& endpoint, const waiting_request& request) const;
    /// Longest expected gap in milliseconds between events of running responses while the prompt is prefilled.
    double expectedEventGapMs(const endpoint_state& endpoint, const waiting_request& request, tokens pendingPrefill) const;
    bool exceedsGapOnAllEndpoints(const waiting_request& request, monotonic_time now) const;
    bool canBorrowSlot(const endpoint_state& endpoint) const;
    unsigned guaranteedSlots(const endpoint_state& endpoint) const;
    std::optional<duration> minTimeToFirstEvent(const waiting_request& request, monotonic_time now) const;
    double expectedEvents(const waiting_request& request) const;
    grant startRequest(const waiting_request& request, const candidate& chosen, monotonic_time now);
    std::optional<refusal> checkRefusal(const waiting_request& request, std::size_t ahead, monotonic_time now);
    duration timeToFinish(const latency_model& model, const waiting_request& request) const;
    bool canFinish(const waiting_request& request, monotonic_time now) const;
    bool canMeetTarget(const waiting_request& request, monotonic_time now) const;
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
    std::size_t m_rank = 0;
    std::size_t m_nodeCount = 1;
    std::size_t m_reportCount = 0;
    double m_medianFailureRate = 1;
};

} // namespace carawaylink::placement
