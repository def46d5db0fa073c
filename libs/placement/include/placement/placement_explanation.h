#pragma once

#include "base/enum_table.h"
#include "base/ids.h"
#include "discovery/endpoint_table.h"

#include <optional>
#include <vector>

namespace carawaylink::placement {

/// Why a request is not placed on an endpoint now.
enum class placement_obstacle {
    /// Not listed, draining or leaving.
    not_accepting,
    /// It fails, does not make progress, or another process has its address.
    unhealthy,
    /// The request was sent there before, or the endpoint asked its sender for rest.
    excluded,
    no_slot,
    no_memory,
    /// Prefilling the prompt would exceed the event gap of the responses that run there.
    event_gap,
    /// The first event would miss the latency target.
    target,
    /// The response would end after its deadline.
    deadline,
};

inline constexpr auto placementObstacleNames = enumTable<placement_obstacle>({
    { placement_obstacle::not_accepting, "not_accepting" },
    { placement_obstacle::unhealthy, "unhealthy" },
    { placement_obstacle::excluded, "excluded" },
    { placement_obstacle::no_slot, "no_slot" },
    { placement_obstacle::no_memory, "no_memory" },
    { placement_obstacle::event_gap, "event_gap" },
    { placement_obstacle::target, "target" },
    { placement_obstacle::deadline, "deadline" },
});

/// What an endpoint would mean for a request that is placed now.
struct explained_candidate {
    discovery::replica_id replica;
    /// Not set if the request may go there.
    std::optional<placement_obstacle> obstacle;
    /// Lower is better.
    double score = 0;
    duration prefillWait {};
    duration expectedFirstEvent {};
    tokens kept { 0 };
    unsigned running = 0;
    unsigned slots = 0;
    /// Expected memory of the running requests.
    tokens memory { 0 };
};

/// Candidates in the order in which the pool prefers them, then the endpoints that are ruled out.
struct placement_explanation {
    /// The request cannot meet its target anywhere and takes the best endpoint that is left.
    bool isLate = false;
    std::vector<explained_candidate> candidates;
};

/// The view of the owner of a pool.
struct owner_explanation {
    placement_explanation placement;
    /// Nodes that use the pool, and the time since the last call of the one that has been silent for longest.
    std::size_t nodes = 0;
    duration age {};
};

} // namespace carawaylink::placement
