#pragma once

#include "base/enum_table.h"
#include "base/ids.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace carawaylink {

/// A request as submitted to the scheduler of a pool.
struct scheduling_request {
    request_id id;
    /// Node that accepted the request from its caller.
    node_id home;
    team_id team;
    tier level;
    tokens promptTokens;
    /// Upper bound set by the caller; the cost model learns which share of it requests use.
    tokens maxOutputTokens;
    monotonic_time arrival;
    monotonic_time deadline;
    /// A non-idempotent request is never preempted.
    bool nonIdempotent = false;
    std::vector<std::uint64_t> prefixBlocks;
};

/// An endpoint that may receive requests.
struct endpoint_description {
    endpoint_id id;
    /// Hardware generation; endpoint speeds are compared only within one generation.
    std::string generation;
    failure_domain domain;
    /// Maximum number of requests that the endpoint runs concurrently.
    std::size_t maxRunning = 1;
    /// Capacity of the prefix cache, in tokens.
    tokens cacheCapacity;
};

struct team_share {
    team_id team;
    double weight = 1.0;
    std::size_t maxWaiting = 2000;
};

enum class refusal_reason {
    deadline_unreachable,
    deadline_passed,
    /// The pool has reached its limit of waiting requests.
    queue_full,
    /// The team has reached its limit of waiting requests in the pool.
    team_queue_full,
    /// A waiting request was removed to make room for one of a more urgent tier.
    displaced,
    no_endpoint,
    team_rate_limit,
    draining,
    /// The pool owner sent a reason that this node does not know.
    unavailable,
};

inline constexpr auto refusalReasonNames = enumTable<refusal_reason>({
    { refusal_reason::deadline_unreachable, "deadline_unreachable" },
    { refusal_reason::deadline_passed, "deadline_passed" },
    { refusal_reason::queue_full, "queue_full" },
    { refusal_reason::team_queue_full, "team_queue_full" },
    { refusal_reason::displaced, "displaced" },
    { refusal_reason::no_endpoint, "no_endpoint" },
    { refusal_reason::team_rate_limit, "team_rate_limit" },
    { refusal_reason::draining, "draining" },
    { refusal_reason::unavailable, "unavailable" },
});

/// Permission to dispatch one request to one endpoint.
struct slot_grant {
    request_id request;
    node_id home;
    endpoint_id endpoint;
    tokens expectedCached;
    /// Why this endpoint was chosen, for `carawaylink explain`.
    std::string explanation;
};

/// Refusal of a request that has not run and will not be granted a slot.
struct slot_refusal {
    request_id request;
    node_id home;
    refusal_reason reason;
    std::string message;
    duration retryAfter {};
    /// Estimated run time on the best endpoint, without waiting; zero if it was not estimated.
    duration bestCase {};
};

/// Tells the home node to cancel the running stream; its slot goes to a more urgent tier.
struct slot_preemption {
    request_id request;
    node_id home;
};

using scheduling_action = std::variant<slot_grant, slot_refusal, slot_preemption>;

enum class release_outcome {
    /// The response was received completely.
    completed,
    /// The caller or the scheduler cancelled the stream.
    cancelled,
    /// The endpoint failed or the stream broke off.
    failed,
    /// The endpoint rejected the request before running it.
    rejected,
    /// The grant was returned without being dispatched, or its release was lost.
    unused,
};

inline constexpr auto releaseOutcomeNames = enumTable<release_outcome>({
    { release_outcome::completed, "completed" },
    { release_outcome::cancelled, "cancelled" },
    { release_outcome::failed, "failed" },
    { release_outcome::rejected, "rejected" },
    { release_outcome::unused, "unused" },
});

/// Measurements that the home node reports for a finished request.
struct slot_release {
    request_id request;
    release_outcome outcome = release_outcome::completed;
    tokens promptTokens;
    tokens cachedTokens;
    tokens outputTokens;
    /// From dispatch to the first token; zero if none arrived.
    duration timeToFirstToken {};
    /// From dispatch to the end.
    duration total {};
    /// The endpoint announced that it is leaving.
    bool endpointLeaving = false;
};

struct slot_progress {
    request_id request;
    tokens outputTokens;
    duration timeToFirstToken {};
};

/// A prefix-cache event of an endpoint, or one entry of its inventory. Events may be late or missing.
struct cache_event {
    endpoint_id endpoint;
    std::uint64_t blockHash = 0;
    bool stored = true;
};

/// An endpoint's own report of its load; delayed.
struct load_report {
    endpoint_id endpoint;
    std::size_t running = 0;
    std::size_t waiting = 0;
    bool leaving = false;
};

} // namespace carawaylink
