#pragma once

#include "membership/failure_detector.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace carawaylink {

/// Identifies a pool: a service and a number below the service's pool count.
struct pool_id {
    service_id service;
    std::uint32_t number = 0;

    friend auto operator<=>(const pool_id&, const pool_id&) = default;
};

/// Rendezvous weight of a node for a key (Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates").
std::uint64_t rendezvousWeight(std::string_view key, const node_id& node);

/// The node with the greatest weight for the key; nullopt for an empty list.
std::optional<node_id> rendezvousOwner(std::string_view key, std::span<const node_id> nodes);

/// Owner of a pool among the members that are alive or suspect and not draining.
std::optional<node_id> poolOwner(const pool_id& pool, std::span<const member_update> members);

/// Splits the endpoints of a service into pools of at most poolSize. The result depends only on the set of endpoints, not on their order.
/// Throws error(invalid_argument) if poolSize is 0.
std::vector<std::vector<endpoint_id>> splitIntoPools(std::vector<endpoint_id> endpoints, std::size_t poolSize);

/// Entry addresses for a team, in order of preference: a small, stable subset of the live, non-draining nodes, spread over failure
/// domains and chosen by rendezvous hash of the team. Returns at most count members.
std::vector<member_update> entryAddresses(const team_id& team, std::span<const member_update> members, std::size_t count);

/// Chooses the witness for tickets issued by home: a live, non-draining member, preferably in another failure domain; nullopt if there is
/// none. key distributes tickets over the candidates.
std::optional<member_update> chooseWitness(const member_update& home, std::span<const member_update> members, std::uint64_t key);

} // namespace carawaylink
