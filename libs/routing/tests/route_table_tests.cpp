#include "routing/route_table.h"

#include <gtest/gtest.h>

namespace carawaylink::routing {
namespace {

class route_table_test : public testing::Test {
protected:
    static route makeRoute(const std::string& name, const std::string& prefix)
    {
        route result;
        result.name = name;
        result.host = "Choir.example";
        result.pathPrefix = prefix;
        result.services = { { service_id { "s" }, 1 } };
        return result;
    }

    fleet_configuration m_routes { config_version { 1 },
        { makeRoute("root", "/a/"), makeRoute("deep", "/a/b/"), makeRoute("other", "/c/") }, {}, {}, {} };
};

TEST_F(route_table_test, longestPrefix_wins)
{
    const route_table table(m_routes);
    EXPECT_EQ(table.find("choir.example", "/a/b/x")->name, "deep");
    EXPECT_EQ(table.find("choir.example", "/a/bx")->name, "root");
    EXPECT_EQ(table.find("choir.example", "/a/b/")->name, "deep");
}

TEST_F(route_table_test, host_withPortOrOtherCase_matches)
{
    const route_table table(m_routes);
    EXPECT_NE(table.find("CHOIR.example:8080", "/c/1"), nullptr);
}

TEST_F(route_table_test, prefixInQuery_isIgnored)
{
    // Guards against a query that selects the route.
    const route_table table(m_routes);
    EXPECT_EQ(table.find("choir.example", "/a/?x=/a/b/")->name, "root");
    EXPECT_EQ(table.find("choir.example", "/zzz?/c/"), nullptr);
}

TEST_F(route_table_test, unknownHostOrPath_findsNothing)
{
    const route_table table(m_routes);
    EXPECT_EQ(table.find("tea.example", "/a/"), nullptr);
    EXPECT_EQ(table.find("choir.example", "/"), nullptr);
    EXPECT_EQ(table.find("choir.example", ""), nullptr);
    EXPECT_EQ(table.find("choir.example", "/c"), nullptr);
}

TEST_F(route_table_test, key_findsOnlyItsTeam)
{
    team_definition first;
    first.name = team_id { "first" };
    first.keys = { "k1", "k2" };
    m_routes.teams = { first };
    const route_table table(m_routes);
    EXPECT_EQ(table.teamOf("k2")->name.value, "first");
    EXPECT_EQ(table.teamOf("k3"), nullptr);
    EXPECT_EQ(table.teamOf(""), nullptr);
}

TEST_F(route_table_test, publicRoute_needsNoKey)
{
    m_routes.teams.emplace_back();
    m_routes.routes.front().isPublic = true;
    const route_table table(m_routes);
    EXPECT_FALSE(table.needsKey(*table.find("choir.example", "/a/x")));
    EXPECT_TRUE(table.needsKey(*table.find("choir.example", "/c/x")));
}

TEST_F(route_table_test, splitRoute_distributesByWeight)
{
    auto split = makeRoute("split", "/s/");
    split.services = { { service_id { "x" }, 90 }, { service_id { "y" }, 10 }, { service_id { "z" }, 0 } };
    int toY = 0;
    for (std::uint64_t randomValue = 0; randomValue < 1000; ++randomValue) {
        const auto& chosen = chooseService(split, randomValue);
        EXPECT_NE(chosen.value, "z");
        toY += chosen.value == "y" ? 1 : 0;
    }
    EXPECT_EQ(toY, 100);
}

} // namespace
} // namespace carawaylink::routing
