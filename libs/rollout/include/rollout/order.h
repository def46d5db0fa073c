#pragma once

#include "base/enum_table.h"
#include "base/ids.h"
#include "rollout/evidence.h"

#include <string>
#include <vector>

namespace carawaylink::rollout {

/// An operator's order to move a service to the endpoints of a version.
struct order {
    service_id service;
    /// Position in the operator's log and number of the log's history; a later order has a greater number. 0 for none.
    std::uint64_t number = 0;
    std::string target;
    /// Time from the order to its deadline.
    duration time {};
    /// What is wrong with the order, and the remedy; empty for a valid one.
    std::string fault;
    /// The operator has deleted the order.
    bool isWithdrawn = false;

    friend bool operator==(const order&, const order&) = default;
};

enum class stage {
    /// No endpoint of the target is usable, or the decision is not claimed yet.
    waiting,
    /// A few endpoints of the target receive as many requests each as the others, within the exposure that is allowed.
    testing,
    /// The share of the target grows.
    widening,
    /// New requests go to the target only; those at the others end.
    finishing,
    completed,
    reverted,
};

inline constexpr auto stageNames = enumTable<stage>({
    { stage::waiting, "waiting" },
    { stage::testing, "testing" },
    { stage::widening, "widening" },
    { stage::finishing, "finishing" },
    { stage::completed, "completed" },
    { stage::reverted, "reverted" },
});

inline bool isFinal(stage value)
{
    return value == stage::completed || value == stage::reverted;
}

/// What is written of an order. A new deciding owner continues from it.
struct status {
    std::uint64_t order = 0;
    std::string target;
    rollout::stage stage = rollout::stage::waiting;
    /// Process that wrote the record.
    std::string decider;
    /// Why the stage was entered, or what it waits for.
    std::string reason;
    /// Time since the order, and from the order to its deadline.
    duration elapsed {};
    duration time {};
    /// Requests of the service since the order, and those sent to the target.
    std::uint64_t requests = 0;
    std::uint64_t targetRequests = 0;
    /// Number of requests that may be sent to the target under this record while testing.
    std::uint64_t reserved = 0;
    double share = 0;
    /// Versions besides the target that had endpoints.
    std::vector<std::string> oldVersions;
    /// Versions that are not used either: targets of earlier orders that were not completed, and what earlier ones replaced.
    std::vector<std::string> excluded;
    evidence collected;
};

} // namespace carawaylink::rollout
