#include "membership/ownership.h"

#include "base/error.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <xxhash.h>

namespace carawaylink {
namespace {

bool isServing(const member_update& member)
{
    return (member.state == member_state::alive || member.state == member_state::suspect) && !member.draining;
}

std::string littleEndianBytes(std::uint64_t value)
{
    std::string bytes;
    for (int shift = 0; shift < 64; shift += 8)
        bytes.push_back(static_cast<char>(value >> shift & 0xff));
    return bytes;
}

std::string poolKey(const pool_id& pool)
{
    return pool.service.value + '\0' + littleEndianBytes(pool.number);
}

/// Orders by weight; the id breaks ties, so that every node reaches the same decision.
std::pair<std::uint64_t, std::string_view> rank(std::string_view key, const node_id& node)
{
    return { rendezvousWeight(key, node), node.value };
}

} // namespace

std::uint64_t rendezvousWeight(std::string_view key, const node_id& node)
{
    return XXH3_64bits_withSeed(node.value.data(), node.value.size(), XXH3_64bits(key.data(), key.size()));
}

std::optional<node_id> rendezvousOwner(std::string_view key, std::span<const node_id> nodes)
{
    const auto best = std::ranges::max_element(nodes, {}, [&](const auto& node) { return rank(key, node); });
    return best == nodes.end() ? std::nullopt : std::optional(*best);
}

std::optional<node_id> poolOwner(const pool_id& pool, std::span<const member_update> members)
{
    const auto key = poolKey(pool);
    const member_update* best = nullptr;
    for (const auto& member : members) {
        if (isServing(member) && (!best || rank(key, member.node) > rank(key, best->node)))
            best = &member;
    }
    return best ? std::optional(best->node) : std::nullopt;
}

std::vector<std::vector<endpoint_id>> splitIntoPools(std::vector<endpoint_id> endpoints, std::size_t poolSize)
{
    if (poolSize == 0)
        throw error(error_kind::invalid_argument, "pool_size is 0", "use at least 1");
    std::ranges::sort(endpoints);
    endpoints.erase(std::unique(endpoints.begin(), endpoints.end()), endpoints.end());
    std::vector<std::vector<endpoint_id>> pools((endpoints.size() + poolSize - 1) / poolSize);
    for (std::size_t i = 0; i < endpoints.size(); ++i)
        pools[i % pools.size()].push_back(std::move(endpoints[i]));
    return pools;
}

std::vector<member_update> entryAddresses(const team_id& team, std::span<const member_update> members, std::size_t count)
{
    // Suspect members are used only if too few others remain: most of them are declared dead a second later.
    struct candidate {
        bool suspect;
        std::size_t indexInDomain; // position among the members of its failure domain
        std::uint64_t weight;
        const member_update* member;
    };
    std::vector<candidate> candidates;
    for (const auto& member : members) {
        if (isServing(member))
            candidates.push_back({ member.state == member_state::suspect, 0, rendezvousWeight(team.value, member.node), &member });
    }
    const auto before = [](const candidate& a, const candidate& b) {
        return std::tuple(a.suspect, a.indexInDomain, b.weight, b.member->node)
            < std::tuple(b.suspect, b.indexInDomain, a.weight, a.member->node);
    };
    std::ranges::sort(candidates, before);
    // The first member of every domain precedes the second member of any domain.
    std::map<std::pair<bool, failure_domain>, std::size_t> nextIndexInDomain;
    for (auto& item : candidates)
        item.indexInDomain = nextIndexInDomain[{ item.suspect, item.member->domain }]++;
    std::ranges::sort(candidates, before);

    std::vector<member_update> chosen;
    for (const auto& item : std::span(candidates).first(std::min(count, candidates.size())))
        chosen.push_back(*item.member);
    return chosen;
}

std::optional<member_update> chooseWitness(const member_update& home, std::span<const member_update> members, std::uint64_t key)
{
    const auto keyBytes = littleEndianBytes(key);
    const member_update* best = nullptr;
    std::tuple<bool, bool, std::uint64_t, std::string_view> bestRank;
    for (const auto& member : members) {
        if (!isServing(member) || member.node == home.node)
            continue;
        const auto [weight, name] = rank(keyBytes, member.node);
        // Suspects come last: without an acknowledgement from the witness, the home node would have to refuse the request.
        const std::tuple candidate(member.state == member_state::alive, member.domain != home.domain, weight, name);
        if (!best || candidate > bestRank) {
            best = &member;
            bestRank = candidate;
        }
    }
    return best ? std::optional(*best) : std::nullopt;
}

} // namespace carawaylink
