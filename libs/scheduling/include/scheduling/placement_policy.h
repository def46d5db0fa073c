#pragma once

#include "base/random.h"
#include "scheduling/types.h"

#include <concepts>
#include <optional>
#include <span>

namespace carawaylink {

/// What a home node knows of an endpoint without asking the pool owner: its last, delayed load report and the home's own outstanding
/// requests.
struct endpoint_view {
    endpoint_id id;
    std::size_t reportedRunning = 0;
    std::size_t reportedWaiting = 0;
};

/// Chooses an endpoint immediately, without a queue. These policies are the baselines of the scheduling benchmark. Returns nullopt for an
/// empty list.
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

/// Chooses the endpoint with the fewest reported running plus waiting requests; the first one on ties.
class least_load_policy {
public:
    std::optional<endpoint_id> choose(std::span<const endpoint_view> endpoints, random_source& random);
};

/// Chooses the less loaded of two distinct random endpoints (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing").
class power_of_two_policy {
public:
    std::optional<endpoint_id> choose(std::span<const endpoint_view> endpoints, random_source& random);
};

} // namespace carawaylink
