#pragma once

#include "membership/ownership.h"
#include "placement/recent_prompts.h"
#include "placement/service_pool.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace carawaylink::placement {

/// A session id counts the sessions of a process in its lower bits; the others identify the run of the process.
inline constexpr unsigned sessionCounterBits = 32;

/// Progress of a running response; events: complete events so far.
struct progress_report {
    std::uint64_t id = 0;
    std::size_t events = 0;
};

/// The end of a request at an endpoint.
struct outcome_report {
    std::uint64_t id = 0;
    outcome result = outcome::completed;
    std::size_t events = 0;
};

/// What the responses of an endpoint say about its limit; perSecond is nullopt if the limit ended.
struct request_limit_report {
    replica_id replica;
    std::optional<double> perSecond;
};

/// What the answers of an endpoint said of it.
struct notice_report {
    replica_id replica;
    /// Start of the process that said so, in Unix milliseconds.
    std::int64_t startedAtMs = 0;
    bool isLeaving = false;
    /// Time until which the endpoint accepts nothing from the reporting node.
    std::optional<monotonic_time> restUntil;
};

/// What a node holds in a pool once a call has been applied, so that the owner notices slots that nobody holds.
struct held_slots {
    /// Number of requests of the node that run in the pool.
    std::uint32_t running = 0;
    /// Number of the last reply whose decisions have taken effect at the node.
    std::uint32_t appliedReply = 0;
};

/// From a node that serves callers to the owner of a pool. Calls of one session are numbered from 1; the first lists everything that the
/// node has in the pool, so that an owner without any state can continue.
struct slot_call {
    pool_id pool;
    /// Identifies the run of the node's process and counts its sessions; a new session replaces everything that the owner knows from the
    /// node.
    std::uint64_t session = 0;
    std::uint32_t sequence = 0;
    /// The owner must reply even if it has no decision for this node.
    bool wantsReply = false;
    failure_domain domain;
    // The owner applies the lists in this order.
    std::vector<std::uint64_t> withdrawn;
    std::vector<progress_report> progress;
    std::vector<outcome_report> outcomes;
    /// Prompts that endpoints of the pool answered lately; listed when a session is opened, for an owner that knows nothing.
    std::vector<answered_prompt> answered;
    /// Requests that run on endpoints of the pool without a grant of this session.
    std::vector<adopted_request> adopted;
    std::vector<notice_report> notices;
    std::vector<waiting_request> requests;
    std::vector<request_limit_report> limits;
    /// Not set while the node has received decisions that have not taken effect.
    std::optional<held_slots> held;
};

enum class call_status {
    accepted,
    /// The receiver does not own the pool.
    not_owner,
    /// The receiver misses calls of the session; the node must open a new one.
    unknown_session,
};

/// A grant and what the owner knows about the speed of the endpoint.
struct slot_grant {
    grant granted;
    endpoint_speed speed;
};

/// From the owner of a pool to a node. Replies of one session are numbered from 1.
struct slot_reply {
    pool_id pool;
    std::uint64_t session = 0;
    std::uint32_t sequence = 0;
    /// Number of the last call that the owner has processed.
    std::uint32_t processed = 0;
    call_status status = call_status::accepted;
    pool_load load;
    std::vector<slot_grant> grants;
    std::vector<refusal> refusals;
    std::vector<wait_report> waitReports;
    /// Limits of the endpoints that are granted.
    std::vector<request_limit_report> limits;
    /// Rules on versions that the node was not told yet in this session.
    std::optional<version_rules> versions;
};

/// Slots that an owner took back from a node, because the node did not hold them.
struct reclaimed_slots {
    pool_id pool;
    node_id node;
    std::size_t counted = 0;
    std::size_t held = 0;
};

struct addressed_call {
    node_id owner;
    slot_call call;
};

struct addressed_reply {
    node_id node;
    slot_reply reply;
};

} // namespace carawaylink::placement
