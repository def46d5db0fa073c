#include "placement/pool_assignment.h"

#include <algorithm>
#include <tuple>

namespace carawaylink::placement {

namespace {

// Bounds the work of one owner: about 700 requests per second if each takes half a second of a slot and an endpoint has six slots.
constexpr std::size_t endpointsPerPool = 64;

} // namespace

std::uint32_t poolCount(std::size_t endpoints)
{
    return static_cast<std::uint32_t>(std::max<std::size_t>(1, (endpoints + endpointsPerPool / 2) / endpointsPerPool));
}

std::uint32_t poolOf(const discovery::replica_id& endpoint, std::uint32_t pools)
{
    std::uint32_t best = 0;
    std::uint64_t bestWeight = 0;
    for (std::uint32_t number = 0; number < pools; ++number) {
        const auto weight = rendezvousWeight(endpoint.value, node_id { std::to_string(number) });
        if (number == 0 || weight > bestWeight) {
            best = number;
            bestWeight = weight;
        }
    }
    return best;
}

std::vector<std::vector<discovery::endpoint_record>> splitByPool(const std::vector<discovery::endpoint_record>& endpoints)
{
    const auto count = poolCount(endpoints.size());
    std::vector<std::vector<discovery::endpoint_record>> pools(count);
    for (const auto& endpoint : endpoints)
        pools[poolOf(endpoint.id, count)].push_back(endpoint);
    return pools;
}

std::optional<node_id> ownerOf(const pool_id& pool, std::span<const owner_candidate> candidates)
{
    const auto key = pool.service.value + '/' + std::to_string(pool.number);
    const auto best = std::ranges::max_element(candidates, {}, [&](const owner_candidate& candidate) {
        return std::tuple(candidate.capacity, rendezvousWeight(key, candidate.node), std::string_view(candidate.node.value));
    });
    return best == candidates.end() ? std::nullopt : std::optional(best->node);
}

std::vector<std::optional<node_id>> ownersOf(const service_id& service, std::uint32_t pools, std::span<const owner_candidate> candidates)
{
    std::vector<std::optional<node_id>> owners;
    for (std::uint32_t number = 0; number < pools; ++number)
        owners.push_back(ownerOf({ service, number }, candidates));
    return owners;
}

} // namespace carawaylink::placement
