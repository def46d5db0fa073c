#include "scheduling/placement_policy.h"

#include <algorithm>

namespace carawaylink {

namespace {

std::size_t load(const endpoint_view& endpoint)
{
    return endpoint.reportedRunning + endpoint.reportedWaiting;
}

} // namespace

std::optional<endpoint_id> round_robin_policy::choose(std::span<const endpoint_view> endpoints, random_source&)
{
    if (endpoints.empty())
        return std::nullopt;
    return endpoints[m_next++ % endpoints.size()].id;
}

std::optional<endpoint_id> least_load_policy::choose(std::span<const endpoint_view> endpoints, random_source&)
{
    if (endpoints.empty())
        return std::nullopt;
    return std::ranges::min_element(endpoints, {}, load)->id;
}

std::optional<endpoint_id> power_of_two_policy::choose(std::span<const endpoint_view> endpoints, random_source& random)
{
    if (endpoints.empty())
        return std::nullopt;
    if (endpoints.size() == 1)
        return endpoints.front().id;
    const auto first = std::uniform_int_distribution<std::size_t>(0, endpoints.size() - 1)(random);
    // Drawn from the remaining endpoints: drawing the same endpoint twice would be a random choice without comparison.
    auto second = std::uniform_int_distribution<std::size_t>(0, endpoints.size() - 2)(random);
    second += second >= first ? 1 : 0;
    return load(endpoints[second]) < load(endpoints[first]) ? endpoints[second].id : endpoints[first].id;
}

} // namespace carawaylink
