#pragma once

#include "base/ids.h"

#include <cstdint>

namespace carawaylink::rollout {

/// Bound of the requests that a bad version may receive: a share of all requests of its service, and a number of requests.
struct exposure_bound {
    double share = 0.1;
    double slack = 50;
    /// Time after the 50th bad answer of a version from which no request may be sent to it.
    duration rollback = std::chrono::seconds(5);
};

/// Number of requests that may have been sent to the target after this number of requests of the service. Stays below the bound, which
/// leaves room for requests that are counted late.
std::uint64_t plannedExposure(const exposure_bound& bound, std::uint64_t requests);

/// Number of requests up to which the next record reserves exposure. A reservation is lost if its owner is, so it covers only what the
/// next record comes too late for. recentRequests: requests of the service in the last second.
std::uint64_t nextReservation(
    const exposure_bound& bound, std::uint64_t requests, std::uint64_t targetRequests, std::uint64_t recentRequests);

} // namespace carawaylink::rollout
