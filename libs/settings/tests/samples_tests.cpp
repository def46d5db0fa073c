#include "settings/settings.h"

#include <filesystem>
#include <fstream>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <iterator>
#include <set>

namespace carawaylink {
namespace {

std::string read(const std::filesystem::path& path)
{
    std::ifstream file(path);
    return { std::istreambuf_iterator<char>(file), {} };
}

class samples : public testing::TestWithParam<const char*> {
protected:
    std::filesystem::path m_folder = std::filesystem::path(CARAWAYLINK_SAMPLES) / GetParam();
};

// Guards against samples that no longer fit the schema, or nodes of a sample that cannot run together.
TEST_P(samples, node_settings_are_valid_and_differ)
{
    std::set<std::string> addresses;
    std::set<std::string> secrets;
    for (int node = 1; node <= 4; ++node) {
        settings_report report;
        const auto settings = loadDaemonSettings(read(m_folder / ("node-" + std::to_string(node) + ".yaml")), report);
        ASSERT_TRUE(settings) << toString(report);
        addresses.insert(settings->node_address);
        addresses.insert(settings->http_address);
        secrets.insert(settings->cluster_keys[0]->secret);
    }
    EXPECT_EQ(addresses.size(), 8U);
    EXPECT_EQ(secrets.size(), 1U);
}

// Guards against a sample fleet that cannot be applied.
TEST_P(samples, fleet_is_valid)
{
    settings_report report;
    const auto fleet = loadFleetConfiguration(read(m_folder / "fleet.yaml"), report);
    ASSERT_TRUE(fleet) << toString(report);
    EXPECT_THAT(fleet->tiers, testing::SizeIs(4));
    EXPECT_THAT(fleet->teams, testing::SizeIs(5));
    EXPECT_THAT(fleet->services, testing::SizeIs(2));
}

INSTANTIATE_TEST_SUITE_P(deployments, samples, testing::Values("oduya", "luzon"));

} // namespace
} // namespace carawaylink
