#pragma once

#include "http/message.h"
#include "slot_coordinator.h"

namespace carawaylink::gateway {

/// Path of the query on the address of the metrics.
inline constexpr std::string_view placementQueryPath = "/where";

/// Answers where a request would go now, as lines of key=value: one per pool, and one per endpoint of the pools that this node owns. Its
/// parameters are service, prompt and output (tokens), target_ms and parts (ID:TOKENS,...); all but service may be left out.
http_response answerPlacementQuery(const http_request& query, const slot_coordinator& slots, const node_id& self);

} // namespace carawaylink::gateway
