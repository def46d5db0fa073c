#pragma once

#include "discovery/endpoint_table.h"
#include "membership/ownership.h"

#include <optional>
#include <span>
#include <vector>

namespace carawaylink::placement {

/// A node that can own pools.
struct owner_candidate {
    node_id node;
    /// Processor capacity in thousandths of a core.
    unsigned capacity = 0;
};

/// Number of pools into which the endpoints of a service are divided; at least 1.
std::uint32_t poolCount(std::size_t endpoints);

/// Number of the pool that contains the endpoint. Endpoints that join or leave do not move the others while the count stays the same.
std::uint32_t poolOf(const discovery::replica_id& endpoint, std::uint32_t pools);

/// Endpoints of a service by pool number.
std::vector<std::vector<discovery::endpoint_record>> splitByPool(const std::vector<discovery::endpoint_record>& endpoints);

/// Owner of a pool: of the nodes with the greatest capacity, the one with the greatest rendezvous weight; nullopt without nodes.
std::optional<node_id> ownerOf(const pool_id& pool, std::span<const owner_candidate> candidates);

/// Owners of the pools of a service, by pool number.
std::vector<std::optional<node_id>> ownersOf(const service_id& service, std::uint32_t pools, std::span<const owner_candidate> candidates);

} // namespace carawaylink::placement
