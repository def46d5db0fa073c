#pragma once

#include "base/enum_table.h"
#include "base/ids.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace carawaylink {

/// Whether a refused request was executed.
enum class ran_state {
    no,
    unknown,
};

inline constexpr auto ranStateNames = enumTable<ran_state>({
    { ran_state::no, "no" },
    { ran_state::unknown, "unknown" },
});

/// Error response to a request; states whether the request was executed.
struct refusal {
    unsigned status = 503;
    std::string type;
    std::string message;
    ran_state ran = ran_state::no;
    std::string remedy;
    duration retryAfter {};
};

/// Progress of a request's stream. Written by the request's thread, read by the control thread.
struct stream_progress {
    std::atomic<std::int64_t> outputTokens = 0;
    /// Microseconds from dispatch to the first token; 0 until it arrives.
    std::atomic<std::int64_t> firstTokenMicroseconds = 0;
    /// Set by the control thread when the request is preempted by a more urgent tier.
    std::atomic<bool> preempted = false;
};

/// A request to be scheduled and dispatched.
struct dispatch_request {
    request_id id;
    service_id service;
    bool plainService = false;
    team_id team;
    tier level;
    tokens promptTokens;
    tokens maxOutputTokens;
    std::vector<std::uint64_t> prefixBlocks;
    monotonic_time arrival;
    monotonic_time deadline;
    bool nonIdempotent = false;
    /// Sealed ticket; empty if the request has none.
    std::string ticket;
    /// The request was forwarded by another node.
    bool forwarded = false;
    /// Forwarding to the ticket's home node failed.
    bool homeUnreachable = false;
    std::shared_ptr<stream_progress> progress = std::make_shared<stream_progress>();
    /// Called on the control thread when the request is preempted; must cancel its stream.
    std::function<void()> onPreempt;
};

/// Permission to dispatch the request to this endpoint now.
struct dispatch_permission {
    endpoint_id endpoint;
    tokens expectedCached;
};

/// An earlier request with the same ticket was dispatched; its output is to be read from the engine.
struct attach_to_stream {
    request_id holder;
    endpoint_id endpoint;
};

/// Response of a plain service to an earlier request with the same ticket.
struct stored_response {
    unsigned status = 200;
    std::string contentType;
    std::string body;
};

/// The ticket belongs to another live node, to which the request is to be forwarded.
struct forward_to_home {
    std::string httpAddress;
};

using dispatch_decision = std::variant<dispatch_permission, refusal, attach_to_stream, stored_response, forward_to_home>;
using dispatch_callback = std::function<void(dispatch_decision)>;

} // namespace carawaylink
