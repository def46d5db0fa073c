#pragma once

#include "base/enum_table.h"
#include "base/ids.h"
#include "base/random.h"
#include "discovery/endpoint_table.h"
#include "placement/connection_estimate.h"
#include "placement/endpoint_health.h"
#include "placement/endpoint_notice.h"
#include "placement/latency_model.h"
#include "placement/placement_explanation.h"
#include "placement/prefill_cost_model.h"
#include "placement/prefix_belief.h"
#include "placement/request_limit.h"
#include "placement/sender_paths.h"
#include "placement/tier_floor.h"
#include "placement/version_rules.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
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
    /// Node that will send the request, and its failure domain; empty if unknown.
    node_id sender;
    failure_domain domain;
    /// True for a request that was admitted before, by this node or after a refusal; ordered before new ones of its tier.
    bool wasAdmitted = false;
    /// True if its node declined a grant of it before; not known to the owner.
    bool wasDeclined = false;
    /// True if part of the response has reached the caller; such a request is not refused before its deadline.
    bool responseStarted = false;
    /// Parts of the prompt that endpoints may hold; empty if there is none of significant size.
    prompt_parts promptParts;
    /// Time to the first event on the fastest usable endpoint; updated by the pool.
    std::optional<duration> minTimeToFirstEvent;
    /// True if no endpoint can meet the target; updated by the pool.
    bool isLate = false;
    /// True if a wait report was issued; set by the pool.
    bool isReported = false;
    /// When the pool counted the request as arrived; set by the pool.
    std::optional<monotonic_time> countedAt;
    /// True if the floor of its rank gives it the next start; set by the pool.
    bool startsByFloor = false;
    /// Hash of the route's name while an order of a roll-out is in progress; 0 otherwise.
    std::uint64_t route = 0;
    /// Version of the software that must answer; nullopt for any.
    std::optional<std::string> version;
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
    /// Beginning of the prompt that the endpoint is believed to hold, reduced by how often the belief was wrong.
    tokens kept { 0 };
    /// Time until the endpoint has prefilled earlier prompts; set for requests with prompt parts.
    duration prefillWait {};
};

enum class refusal_cause {
    /// No endpoint can answer before the deadline.
    deadline,
    /// The queue ahead takes longer than the request can wait.
    queue,
    /// The service has no usable endpoint.
    no_endpoint,
    /// No endpoint of the version that must answer is in service.
    version_gone,
};

inline constexpr auto refusalCauseNames = enumTable<refusal_cause>({
    { refusal_cause::deadline, "deadline" },
    { refusal_cause::queue, "queue" },
    { refusal_cause::no_endpoint, "no_endpoint" },
    { refusal_cause::version_gone, "version_gone" },
});

struct refusal {
    std::uint64_t id = 0;
    refusal_cause cause = refusal_cause::queue;
    /// Time until capacity is expected.
    duration retryAfter {};
    std::size_t ahead = 0;
};

/// Load that the requests of a pool place on an endpoint.
struct endpoint_load {
    unsigned running = 0;
    /// Pending prefill of requests without a first event, in tokens of short prompts.
    tokens pendingPrefill { 0 };
    /// Expected memory of the running requests.
    tokens memory { 0 };
};

/// Summary of a pool, by which nodes choose among the pools of a service.
struct pool_load {
    unsigned slots = 0;
    unsigned running = 0;
    unsigned waiting = 0;

    /// Requests per slot.
    double utilization() const { return slots == 0 ? 1 : static_cast<double>(running + waiting) / slots; }
};

/// A running request that was granted by another decision maker.
struct adopted_request {
    std::uint64_t id = 0;
    node_id sender;
    replica_id replica;
    tokens prompt { 0 };
    tokens output { 0 };
    duration expectedFirstEvent {};
    bool hasFirstEvent = false;
    /// As in its grant.
    tokens kept { 0 };
    prompt_parts promptParts;
};

/// Reuse of prompt parts in tokens, of answers whose time to the first event tells whether there was any.
struct reuse_totals {
    std::int64_t predicted = 0;
    std::int64_t found = 0;
};

/// What admission control has done since the counts were taken last.
struct admission_counts {
    /// Starts out of order that the floor gave.
    std::uint64_t floorStarts = 0;

    bool operator==(const admission_counts&) const = default;
};

/// Number of endpoints by what they said of themselves.
struct notice_counts {
    std::size_t leaving = 0;
    std::size_t resting = 0;
};

struct pool_limits {
    /// KV cache capacity of one engine; not set for plain services.
    std::optional<tokens> memory;
    unsigned tokensPerEvent = 1;
};

/// Why an endpoint accepts no request of a node.
enum class unusable_reason {
    /// The registry does not list it, as far as this node knows.
    unlisted,
    /// The registry lists it as draining.
    draining,
    /// Its answers say that it leaves.
    leaving,
    /// It asked this node for rest.
    resting,
    /// Its version must not be used, by an order of a roll-out or because it has just appeared.
    version,
};

inline constexpr auto unusableReasonNames = enumTable<unusable_reason>({
    { unusable_reason::unlisted, "unlisted" },
    { unusable_reason::draining, "draining" },
    { unusable_reason::leaving, "leaving" },
    { unusable_reason::resting, "resting" },
    { unusable_reason::version, "version" },
});

/// A grant of an owner that the node does not use; the request waits again.
struct declined_grant {
    std::uint64_t id = 0;
    replica_id replica;
    unusable_reason reason = unusable_reason::unlisted;
};

struct pool_decisions {
    std::vector<grant> grants;
    std::vector<refusal> refusals;
    std::vector<declined_grant> declined;
    /// Requests that have just exceeded the wait report threshold; reported once each.
    std::vector<wait_report> waitReports;

    bool isEmpty() const { return grants.empty() && refusals.empty() && declined.empty() && waitReports.empty(); }
};

/// Queue and placement of requests over a set of endpoints of one service. The owner of a pool uses all slots of its endpoints; a node
/// that decides without the owner uses only its share of them.
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
    const pool_limits& limits() const { return m_limits; }
    void setEndpoints(const std::vector<discovery::endpoint_record>& records, monotonic_time now);
    /// Limits the slots to this node's share among count nodes. rank: index of this node among them.
    void setShare(std::size_t rank, std::size_t count);
    /// Sets a latency estimate that another node has learned, for endpoints that this one has hardly used.
    void setReportedSpeed(const replica_id& replica, const endpoint_speed& speed);
    /// Estimate used for predictions; nullopt for an unknown endpoint.
    std::optional<endpoint_speed> speedOf(const replica_id& replica) const;
    /// Estimates of the endpoints that have served requests.
    std::map<replica_id, endpoint_speed> speeds() const;

    /// Sets the limit that an endpoint named; returns whether it differs from the one before.
    bool setRequestLimit(const replica_id& replica, double perSecond, monotonic_time now);
    /// A response without a limit arrived. sentAt: when its request was sent. Returns whether a limit ended.
    bool liftRequestLimit(const replica_id& replica, monotonic_time sentAt);
    std::optional<double> requestLimitOf(const replica_id& replica) const;
    /// Endpoints with a limit.
    std::map<replica_id, double> requestLimits() const;

    /// What an endpoint said of itself in an answer. startedAtMs: start of its process. Both return whether it is news.
    bool setLeaving(const replica_id& replica, std::int64_t startedAtMs);
    bool setRest(const replica_id& replica, std::int64_t startedAtMs, const node_id& node, monotonic_time until);
    /// Why the endpoint accepts no new requests of the sender; nullopt if it does.
    std::optional<unusable_reason> whyUnusable(const replica_id& replica, const node_id& sender, monotonic_time now) const;
    /// What the endpoint has said of itself; nullptr for an unknown one.
    const endpoint_notice* noticeOf(const replica_id& replica) const;
    /// Endpoints that have said of themselves what still counts.
    std::vector<replica_id> withNotice(monotonic_time now) const;
    /// Start of the endpoint's process in Unix milliseconds, as registered last; 0 for an unknown endpoint.
    std::int64_t startOf(const replica_id& replica) const;
    /// Whether the endpoint is known to run this version.
    bool runsVersion(const replica_id& replica, const std::string& version) const;
    /// Whether any listed endpoint of the version accepts requests.
    bool acceptsVersion(const std::string& version) const;
    /// Number of listed endpoints that say that they leave, and that rest for any node.
    notice_counts countNotices(monotonic_time now) const;

    /// Sets which versions may be granted. split: how the owner of the pool divides its grants; without one, a pool that uses both versions
    /// grants the old one only, and observes nothing.
    void setVersionRules(const version_rules& rules, const std::optional<version_split>& split = std::nullopt);
    const version_rules& versionRules() const { return m_versionRules; }
    /// Number of requests that run on endpoints of other versions than the target of the order.
    std::size_t runningOld() const;
    /// Returns what was seen of requests since the last call, while an order is in progress.
    std::vector<version_observation> takeObservations() { return std::exchange(m_observations, {}); }

    void submit(waiting_request request);
    /// Counts a request that was granted elsewhere as running on the endpoint. Releases its load at a previous endpoint with the outcome
    /// timed_out. Returns false if the endpoint accepts no new requests.
    bool adopt(const adopted_request& request, monotonic_time now);
    /// The process of the endpoint that started at this time, in Unix milliseconds, has prefilled the prompt.
    void recordAnswered(const replica_id& replica, std::int64_t startedAtMs, const prompt_parts& parts);
    /// Removes a waiting request; returns false if it is not waiting.
    bool withdraw(std::uint64_t id);
    /// Grants and refuses what can be decided now. A grant for a request that is already running releases its load at the previous endpoint
    /// with the outcome timed_out.
    pool_decisions decide(monotonic_time now);
    /// Where the request would go now if it were first in the queue, and why; decides nothing.
    placement_explanation explain(waiting_request request, monotonic_time now);
    bool hasWaiting() const { return !m_waiting.empty(); }
    std::size_t waitingCount() const { return m_waiting.size(); }

    /// Records that part of the response arrived. events: complete events so far.
    void recordProgress(std::uint64_t id, std::size_t events, monotonic_time now);
    void recordOutcome(std::uint64_t id, outcome result, std::size_t events, monotonic_time now);
    /// Time after which a running request without a first event is given up.
    duration firstEventTimeout(std::uint64_t id) const;

    bool isRunning(std::uint64_t id) const { return m_running.contains(id); }
    bool isWaiting(std::uint64_t id) const { return std::ranges::find(m_waiting, id, &waiting_request::id) != m_waiting.end(); }
    std::map<replica_id, endpoint_load> loads() const;
    pool_load totalLoad() const;
    admission_counts takeAdmissionCounts() { return std::exchange(m_admissions, {}); }
    reuse_totals reuse() const { return m_reuse; }
    /// Heap memory of what the endpoints are believed to hold.
    std::size_t prefixBytes() const;

private:
    /// Window for measuring the rate at which queued requests start.
    static constexpr auto queueRateWindow = std::chrono::seconds(1);

    struct endpoint_state {
        discovery::endpoint_record record;
        latency_model model;
        endpoint_health health;
        endpoint_load load;
        request_limit limit;
        endpoint_notice notice;
        monotonic_time lastProgress {};
        /// Time of the last request that tried whether a stalled endpoint makes progress again.
        monotonic_time stallTriedAt {};
        bool isListed = true;
        monotonic_time unlistedAt {};
        /// Not set while nothing is known.
        std::unique_ptr<prefix_belief> prefixes;
        reuse_check reuseCheck;
        /// Number of times that the endpoint lost its memory. A request that was sent before has left nothing there.
        std::uint32_t memoryLosses = 0;
        /// Time of the last connection that was lost with a response in progress.
        std::optional<monotonic_time> brokenAt;
        /// When an endpoint that has just started is no longer slow.
        monotonic_time warmAt {};
        bool isTarget = false;
        /// Requests may be granted here by the rules on versions.
        bool isVersionAllowed = true;
    };
    struct running_request {
        replica_id replica;
        node_id sender;
        tokens prompt;
        /// Prefill work of the prompt without what the endpoint holds, in tokens of short prompts.
        tokens work;
        tokens memory;
        tokens queuedPrefill;
        monotonic_time sent;
        std::optional<monotonic_time> firstEventAt;
        duration expectedFirstEvent;
        /// Beginning of the prompt that the endpoint held by all that is known.
        tokens kept { 0 };
        prompt_parts promptParts {};
        std::uint32_t memoryLosses = 0;
        bool isEventRateRecorded = false;
        /// Adopted after its first event, which was measured elsewhere; the rest of the response yields no measurements.
        bool isAdopted = false;
        std::uint64_t route = 0;
    };
    /// Grants of a route since the present split, and those of the target among them.
    struct split_counts {
        std::uint64_t all = 0;
        std::uint64_t target = 0;
    };
    /// Position in the queue, without the order among equals.
    using queue_rank = std::tuple<carawaylink::tier, bool, carawaylink::tier>;
    /// Requests that are ordered before one.
    struct queue_position {
        std::size_t ahead = 0;
        /// Of these, the ones of the same urgency.
        std::size_t sameUrgency = 0;
    };
    struct recent_grant {
        monotonic_time time;
        queue_rank rank;
    };
    struct candidate {
        endpoint_state* endpoint = nullptr;
        duration expectedFirstEvent {};
        double score = 0;
        tokens kept { 0 };
    };

    static std::optional<unusable_reason> whyUnusable(const endpoint_state& endpoint);
    /// Whether nothing of the endpoint needs to be kept.
    static bool isForgotten(const endpoint_state& endpoint, monotonic_time now);
    static urgency urgencyOf(const waiting_request& request) { return { request.teamTier, request.tier }; }
    static queue_rank rankOf(const waiting_request& request) { return { request.teamTier, request.isLate, request.tier }; }
    /// Collects the endpoints that can be used now and the starts of the last second, on which all decisions of one pass are based.
    void beginPass(monotonic_time now);
    /// Updates what the order of the queue depends on, and sorts it.
    void sortQueue(monotonic_time now);
    /// Moves the first request of each rank that its floor gives the next start to the front of the queue.
    void promoteByFloor(monotonic_time now);
    bool hasFreeSlot(monotonic_time now) const;
    std::optional<candidate> chooseEndpoint(const waiting_request& request, bool mustMeetTarget, monotonic_time now);
    /// Chooses among the endpoints of the target or of the other versions; of all versions without an order that uses both.
    std::optional<candidate> chooseAmong(
        std::optional<bool> ofTarget, const waiting_request& request, bool mustMeetTarget, monotonic_time now);
    void applyVersionRules(endpoint_state& endpoint) const;
    /// Whether the next request of the route goes to the target.
    bool isTargetDue(std::uint64_t route) const;
    void countSent(const waiting_request& request, const endpoint_state& endpoint, monotonic_time now);
    void observe(version_event event, std::uint64_t id, const running_request& running, bool isTarget, duration time, outcome result);
    bool hasCapacity(const endpoint_state& endpoint, const waiting_request& request, monotonic_time now) const;
    bool hasFreeSlot(const endpoint_state& endpoint, monotonic_time now) const;
    bool isUsable(const endpoint_state& endpoint, monotonic_time now) const;
    /// Since when the endpoint makes no progress though requests run there; nullopt if it does or nothing runs.
    std::optional<monotonic_time> stalledSince(const endpoint_state& endpoint, monotonic_time now) const;
    /// Whether the endpoint is stalled and is not to be tried now.
    bool isStalled(const endpoint_state& endpoint, monotonic_time now) const;
    bool keepsEventGap(const endpoint_state& endpoint, const waiting_request& request) const;
    bool keepsEventGap(const endpoint_state& endpoint, const waiting_request& request, tokens work) const;
    /// Whether the request was sent there before or needs another version, or its sender cannot use the endpoint now.
    bool isExcluded(const endpoint_state& endpoint, const waiting_request& request, monotonic_time now) const;
    /// Time at which the first endpoint accepts requests of the sender again; nullopt if none asked it for rest.
    std::optional<monotonic_time> firstRestEnd(const waiting_request& request, monotonic_time now) const;
    /// Longest expected gap in milliseconds between events of running responses while the prompt is prefilled.
    /// work: prefill work of the request on the endpoint.
    double expectedEventGapMs(const endpoint_state& endpoint, const waiting_request& request, tokens work, tokens pendingPrefill) const;
    bool exceedsGapOnAllEndpoints(const waiting_request& request, monotonic_time now) const;
    /// Fraction of an endpoint that this pool may use.
    double share() const { return 1.0 / static_cast<double>(m_nodeCount); }
    /// Position of this node among those that share the endpoint, 0 to m_nodeCount - 1; differs between endpoints.
    std::size_t positionAt(const replica_id& replica) const;
    /// Slots of the endpoint that this pool may use.
    unsigned usableSlots(const endpoint_state& endpoint) const;
    std::optional<duration> minTimeToFirstEvent(const waiting_request& request, monotonic_time now) const;
    double expectedEvents(const waiting_request& request) const;
    /// Lower is better. first: expected time to the first event; work: prefill work of the request on the endpoint.
    double scoreOf(const endpoint_state& endpoint, const waiting_request& request, duration first, tokens work, monotonic_time now) const;
    grant startRequest(const waiting_request& request, const candidate& chosen, monotonic_time now);
    void countRunning(endpoint_state& endpoint, std::uint64_t id, running_request running, monotonic_time now);
    std::optional<refusal> checkRefusal(const waiting_request& request, const queue_position& position, monotonic_time now);
    duration timeToFinish(const latency_model& model, const waiting_request& request) const;
    bool canFinish(const waiting_request& request, monotonic_time now) const;
    static bool canMeetTarget(const waiting_request& request, monotonic_time now);
    duration expectedWait(const waiting_request& request, const queue_position& position, monotonic_time now) const;
    std::optional<placement_obstacle> obstacleAt(const endpoint_state& endpoint, const waiting_request& request, monotonic_time now) const;
    explained_candidate explainEndpoint(const endpoint_state& endpoint, const waiting_request& request, monotonic_time now) const;
    wait_report explainWait(const waiting_request& request, std::size_t ahead, monotonic_time now) const;
    void updateModels(endpoint_state& endpoint, const running_request& running, duration elapsed);
    /// Beginning of the prompt that the endpoint holds by all that is known.
    static tokens heldTokens(const endpoint_state& endpoint, const waiting_request& request);
    /// The same, reduced by how often that was wrong there; decisions use this one.
    static tokens believedTokens(const endpoint_state& endpoint, const waiting_request& request);
    /// Prefill work of a prompt whose beginning is kept.
    tokens uncachedWork(tokens prompt, tokens kept) const;
    /// Prefill work of the request on the endpoint; without reuse if the endpoint cannot take the request now.
    tokens fastestWork(const endpoint_state& endpoint, const waiting_request& request, monotonic_time now) const;
    /// Expected time to the first event if the endpoint holds nothing of the prompt.
    duration expectedWithoutReuse(const running_request& running) const;
    /// Prefill work that explains the time to the first event best.
    tokens plausibleWork(endpoint_state& endpoint, const running_request& running, duration elapsed);
    /// Memory of the endpoint that can hold prompt parts.
    tokens prefixCapacity(const endpoint_state& endpoint) const;
    /// The endpoint has prefilled the prompt of the request.
    void addPrefixes(endpoint_state& endpoint, const prompt_parts& parts) const;
    void addPrefixes(endpoint_state& endpoint, const running_request& running) const;
    static void forgetPrefixes(endpoint_state& endpoint);
    /// Forgets what the endpoint held if the outcome shows that its process has ended.
    static void forgetAfter(outcome result, endpoint_state& endpoint, const running_request& running, monotonic_time now);
    endpoint_speed meanEndpointSpeed() const;
    double medianFailureRate() const;

    random_source m_random;
    pool_limits m_limits;
    prefill_cost_model m_prefillCost;
    connection_estimate m_connections;
    sender_paths m_senderPaths;
    monotonic_time m_connectionsExpiredAt {};
    std::map<replica_id, endpoint_state> m_endpoints;
    std::unordered_map<std::uint64_t, running_request> m_running;
    std::vector<waiting_request> m_waiting;
    std::deque<recent_grant> m_recentGrants;
    tier_floor m_floor;
    admission_counts m_admissions;
    std::size_t m_rank = 0;
    std::size_t m_nodeCount = 1;
    double m_medianFailureRate = 1;
    reuse_totals m_reuse;
    // Valid during one pass of decide().
    std::vector<endpoint_state*> m_usable;
    std::map<queue_rank, std::size_t> m_startsByRank;
    version_rules m_versionRules;
    std::optional<version_split> m_versionSplit;
    std::map<std::uint64_t, split_counts> m_splitByRoute;
    std::uint64_t m_targetGrants = 0;
    std::vector<version_observation> m_observations;
    /// Requests were submitted or slots freed since the last pass.
    bool m_hasChanged = true;
    monotonic_time m_lastPassAt {};
};

} // namespace carawaylink::placement
