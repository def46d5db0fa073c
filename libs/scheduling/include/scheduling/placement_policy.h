#pragma once

#include "base/random.h"
#include "scheduling/types.h"

#include <concepts>
#include <optional>
#include <span>

namespace carawaylink {

/// What a home knows of an endpoint without asking an owner: its last lagged report and its own outstanding requests.
struct endpoint_view {
    endpoint_id id;
    std::size_t reportedRunning = 0;
    std::size_t reportedWaiting = 0;
};

/// Chooses an endpoint at once, without a queue; the baselines of the scheduling bench. Returns nothing for an empty list.
template <typename Policy>
concept placement_policy = requires(Policy policy, std::span<const endpoint_view> endpoints, random_source& random)
{
    {
        policy.choose(endpoints, random)
        } -> std::same_as<std::optional<endpoint_id>>;
};

class round_robin_policy {
public:
    std::optional<endpoint_id> choose(std::span<const endpoint_view> endpoints, random_source& random);

private:
    std::size_t m_next = 0;
};

/// The endpoint with the least reported running plus waiting requests; ties go to the first.
class least_load_policy {
public:
    std::optional<endpoint_id> choose(std::span<const endpoint_view> endpoints, random_source& random);
};

/// The less loaded of two endpoints drawn at random (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing").
class power_of_two_policy {
public:
    std::optional<endpoint_id> choose(std::span<const endpoint_view> endpoints, random_source& random);
};

} // namespace carawaylink
