#include "membership/ownership.h"

#include "base/error.h"

#include <gtest/gtest.h>
#include <map>
#include <random>
#include <set>

namespace carawaylink {
namespace {

class ownership_test : public testing::Test {
protected:
    static member_update member(std::size_t number, const std::string& domain)
    {
        member_update update;
        update.node = node_id("10.0.0." + std::to_string(number) + ":7400");
        update.domain = failure_domain(domain);
        return update;
    }

    static std::vector<member_update> cluster(std::size_t size)
    {
        std::vector<member_update> result;
        for (std::size_t i = 0; i < size; ++i)
            result.push_back(member(i, std::string(1, static_cast<char>('a' + i % 3))));
        return result;
    }

    static std::map<std::uint32_t, node_id> owners(std::span<const member_update> members)
    {
        std::map<std::uint32_t, node_id> result;
        for (std::uint32_t i = 0; i < 3000; ++i)
            result[i] = poolOwner({ service_id("rota-llm"), i }, members).value();
        return result;
    }
};

// Guards against two nodes that choose different owners because they list the members in different order.
TEST_F(ownership_test, owner_depends_only_on_set_of_members)
{
    auto members = cluster(9);
    const auto expected = owners(members);
    std::ranges::shuffle(members, std::mt19937(1));
    EXPECT_EQ(owners(members), expected);
    std::vector<node_id> nodes;
    for (const auto& item : members)
        nodes.push_back(item.node);
    const auto owner = rendezvousOwner("key", nodes);
    std::ranges::reverse(nodes);
    EXPECT_EQ(rendezvousOwner("key", nodes), owner);
}

// Guards against the failure of a node that moves pools between surviving nodes.
TEST_F(ownership_test, dead_member_moves_only_its_own_pools)
{
    auto members = cluster(5);
    const auto before = owners(members);
    members[2].state = member_state::dead;
    const auto after = owners(members);
    for (const auto& [pool, owner] : before) {
        if (owner == members[2].node)
            EXPECT_NE(after.at(pool), owner);
        else
            EXPECT_EQ(after.at(pool), owner);
    }
}

// Guards against a distribution in which one node owns most pools.
TEST_F(ownership_test, pools_are_distributed_evenly)
{
    std::map<node_id, int> counts;
    for (const auto& [pool, owner] : owners(cluster(5)))
        ++counts[owner];
    for (const auto& [node, count] : counts)
        EXPECT_NEAR(count, 600, 100) << node;
}

// Guards against pools owned by draining, dead or departed nodes, and against moving pools on mere suspicion.
TEST_F(ownership_test, draining_and_dead_members_own_nothing)
{
    auto members = cluster(5);
    const auto before = owners(members);
    members[0].state = member_state::suspect;
    EXPECT_EQ(owners(members), before);
    members[0].draining = true;
    members[1].state = member_state::dead;
    members[2].state = member_state::left;
    for (const auto& [pool, owner] : owners(members))
        EXPECT_TRUE(owner == members[3].node || owner == members[4].node);
    EXPECT_FALSE(poolOwner({ service_id("s"), 0 }, {}));
    EXPECT_FALSE(rendezvousOwner("s", {}));
}

// Guards against nodes that compute different pools from lists in different order (section 5).
TEST_F(ownership_test, pools_depend_only_on_set_of_endpoints)
{
    std::vector<endpoint_id> endpoints;
    for (int i = 0; i < 130; ++i)
        endpoints.emplace_back("10.1.0." + std::to_string(i) + ":8000");
    const auto pools = splitIntoPools(endpoints, 64);
    ASSERT_EQ(pools.size(), 3U);
    std::set<endpoint_id> all;
    for (const auto& pool : pools) {
        EXPECT_LE(pool.size(), 64U);
        EXPECT_GE(pool.size(), 43U);
        all.insert(pool.begin(), pool.end());
    }
    EXPECT_EQ(all.size(), 130U);
    std::ranges::shuffle(endpoints, std::mt19937(1));
    endpoints.push_back(endpoints.front());
    EXPECT_EQ(splitIntoPools(endpoints, 64), pools);
    EXPECT_TRUE(splitIntoPools({}, 64).empty());
    EXPECT_THROW(splitIntoPools(endpoints, 0), error);
}

// Guards against a team that loses all its entry addresses with one failure domain.
TEST_F(ownership_test, entry_addresses_spread_over_failure_domains)
{
    const auto members = cluster(30);
    for (int number = 0; number < 50; ++number) {
        const auto chosen = entryAddresses(team_id("team" + std::to_string(number)), members, 3);
        ASSERT_EQ(chosen.size(), 3U);
        std::set<failure_domain> domains;
        for (const auto& item : chosen)
            domains.insert(item.domain);
        EXPECT_EQ(domains.size(), 3U);
    }
    EXPECT_EQ(entryAddresses(team_id("t"), members, 100).size(), 30U);
    EXPECT_TRUE(entryAddresses(team_id("t"), {}, 3).empty());
}

// Guards against callers that lose all their connections when one node leaves.
TEST_F(ownership_test, entry_addresses_change_little_when_a_member_drains)
{
    auto members = cluster(30);
    const auto before = entryAddresses(team_id("team"), members, 6);
    for (auto& item : members)
        item.draining = item.node == before.front().node;
    const auto after = entryAddresses(team_id("team"), members, 6);
    std::size_t kept = 0;
    for (const auto& item : after) {
        EXPECT_NE(item.node, before.front().node);
        kept += std::ranges::count(before, item.node, &member_update::node);
    }
    EXPECT_EQ(kept, 5U);
}

// Guards against callers that are directed to a probably dead node while others are available.
TEST_F(ownership_test, suspects_are_the_last_entry_addresses)
{
    auto members = cluster(4);
    members[1].state = member_state::suspect;
    const auto chosen = entryAddresses(team_id("team"), members, 4);
    ASSERT_EQ(chosen.size(), 4U);
    EXPECT_EQ(chosen.back().node, members[1].node);
}

// Guards against a home node and witness that fail with the same rack, and against one witness for all tickets.
TEST_F(ownership_test, witness_is_in_another_failure_domain)
{
    const auto members = cluster(9);
    std::map<node_id, int> counts;
    for (std::uint64_t key = 0; key < 600; ++key) {
        const auto chosen = chooseWitness(members[0], members, key);
        ASSERT_TRUE(chosen);
        EXPECT_NE(chosen->domain, members[0].domain);
        ++counts[chosen->node];
    }
    EXPECT_EQ(counts.size(), 6U);
    for (const auto& [node, count] : counts)
        EXPECT_NEAR(count, 100, 50) << node;
}

// Guards against tickets whose witness is about to stop (section 6), and against no witness in a cluster with a single failure domain.
TEST_F(ownership_test, witness_is_live_and_not_draining)
{
    auto members = cluster(3);
    members[1].draining = true;
    EXPECT_EQ(chooseWitness(members[0], members, 1)->node, members[2].node);
    members[2].state = member_state::dead;
    EXPECT_FALSE(chooseWitness(members[0], members, 1)) << "without a witness, the home node decides alone";
    members.push_back(member(9, "a"));
    EXPECT_EQ(chooseWitness(members[0], members, 1)->node, members[3].node);
}

} // namespace
} // namespace carawaylink
