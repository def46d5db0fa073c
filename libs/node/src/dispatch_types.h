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

/// Whether a refused request ran.
enum class ran_state {
    no,
    unknown,
};

inline constexpr auto ranStateNames = enumTable<ran_state>({
    { ran_state::no, "no" },
    { ran_state::unknown, "unknown" },
});

/// A truthful refusal for the caller.
struct refusal {
    unsigned status = 503;
    std::string type;
    std::string message;
    ran_state ran = ran_state::no;
    std::string remedy;
    duration retryAfter {};
};

/// What the stream of a request has produced; written by its thread, read by the control thread.
struct stream_progress {
    std::atomic<std::int64_t> outputTokens = 0;
    /// Microseconds from dispatch to the first token; 0 until it arrives.
    std::atomic<std::int64_t> firstTokenMicroseconds = 0;
    /// Set by the control thread: the stream must be cancelled for a higher tier.
    std::atomic<bool> preempted = false;
};

/// A request that wants to be dispatched.
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
    /// Sealed ticket; empty for a request without one.
    std::string ticket;
    /// Another node sent the request here.
    bool forwarded = false;
    /// Forwarding to the ticket's home failed.
    bool homeUnreachable = false;
    std::shared_ptr<stream_progress> progress = std::make_shared<stream_progress>();
    /// Called on the control thread when the stream must be cancelled for a higher tier.
    std::function<void()> onPreempt;
};

/// Dispatch now to this endpoint.
struct dispatch_permission {
    endpoint_id endpoint;
    tokens expectedCached;
};

/// An earlier request with the same ticket was dispatched: read its answer from the engine.
struct attach_to_engine {
    request_id holder;
    endpoint_id endpoint;
};

/// An earlier request with the same ticket was answered by a plain service.
struct repeat_answer {
    unsigned status = 200;
    std::string contentType;
    std::string body;
};

/// The ticket belongs to another live node: send the request there.
struct forward_to_home {
    std::string httpAddress;
};

using dispatch_decision = std::variant<dispatch_permission, refusal, attach_to_engine, repeat_answer, forward_to_home>;
using dispatch_callback = std::function<void(dispatch_decision)>;

} // namespace carawaylink
