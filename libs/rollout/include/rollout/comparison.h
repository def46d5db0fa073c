#pragma once

#include "base/enum_table.h"
#include "rollout/evidence.h"

#include <optional>

namespace carawaylink::rollout {

enum class fault_kind {
    failures,
    slow_first_event,
    slow_events,
};

inline constexpr auto faultKindNames = enumTable<fault_kind>({
    { fault_kind::failures, "failures" },
    { fault_kind::slow_first_event, "slow_first_event" },
    { fault_kind::slow_events, "slow_events" },
});

/// Why the target is worse than the other versions.
struct fault {
    fault_kind kind = fault_kind::failures;
    /// 0 for all routes together.
    route_hash route = 0;
    /// Share of failed requests, or typical time in milliseconds.
    double target = 0;
    double old = 0;
    std::uint32_t samples = 0;
};

/// Compares the target with the other versions, route by route and over all routes. Returns nullopt unless the target is clearly worse.
std::optional<fault> findFault(const evidence& given);

/// How many times slower the target is in the kind and on the route of a fault of slowness, and from how many samples that is known.
struct slowdown {
    double factor = 1;
    std::uint32_t samples = 0;

    bool isAccepted() const;
};
slowdown slowdownOf(const fault& suspected, const evidence& given);

} // namespace carawaylink::rollout
