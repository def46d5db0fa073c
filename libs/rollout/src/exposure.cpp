#include "rollout/exposure.h"

#include <algorithm>

namespace carawaylink::rollout {

namespace {

constexpr double usedFraction = 0.8;
constexpr std::uint64_t minReservation = 20;
// Time that a reservation covers, in seconds.
constexpr double reservedSeconds = 1.5;

} // namespace

std::uint64_t plannedExposure(const exposure_bound& bound, std::uint64_t requests)
{
    return static_cast<std::uint64_t>(usedFraction * (bound.share * static_cast<double>(requests) + bound.slack));
}

std::uint64_t nextReservation(
    const exposure_bound& bound, std::uint64_t requests, std::uint64_t targetRequests, std::uint64_t recentRequests)
{
    const auto needed = static_cast<std::uint64_t>(bound.share * reservedSeconds * static_cast<double>(recentRequests));
    return std::min(plannedExposure(bound, requests), targetRequests + std::max(minReservation, needed));
}

} // namespace carawaylink::rollout
