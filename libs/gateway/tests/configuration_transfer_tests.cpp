#include "configuration_transfer.h"

#include <gtest/gtest.h>

namespace carawaylink::gateway {
namespace {

using namespace std::chrono_literals;
using step = configuration_transfer::step;

class configuration_transfer_test : public testing::Test {
protected:
    step receive(const std::string& peer, std::uint64_t version, std::uint32_t offset, std::uint32_t bytes, std::uint32_t size = 100)
    {
        const std::vector<std::uint8_t> content(bytes, static_cast<std::uint8_t>('a' + version));
        return m_transfer.receive(node_id { peer }, { config_version { version }, size, offset, content }, m_known, m_now);
    }

    configuration_transfer m_transfer;
    config_version m_known { 1 };
    monotonic_time m_now { 100s };
};

TEST_F(configuration_transfer_test, partsOfOnePeer_makeUpTheWhole)
{
    EXPECT_EQ(receive("a", 2, 0, 40), step::incomplete);
    EXPECT_EQ(m_transfer.offset(), 40U);
    EXPECT_EQ(receive("a", 2, 40, 60), step::complete);
    EXPECT_EQ(m_transfer.take(), std::string(100, 'c'));
    EXPECT_FALSE(m_transfer.isActive(m_now));
}

TEST_F(configuration_transfer_test, partOfAnotherPeerMeanwhile_isIgnored)
{
    // Two peers are asked for the first part; only one of them is to go on.
    EXPECT_EQ(receive("a", 2, 0, 40), step::incomplete);
    EXPECT_EQ(receive("b", 2, 0, 40), step::ignored);
    EXPECT_EQ(receive("b", 2, 40, 60), step::ignored);
    EXPECT_EQ(receive("a", 2, 40, 60), step::complete);
}

TEST_F(configuration_transfer_test, peerThatFallsSilent_isReplacedWhereItStopped)
{
    EXPECT_EQ(receive("a", 2, 0, 40), step::incomplete);
    m_now += 500ms;
    EXPECT_FALSE(m_transfer.isActive(m_now));
    EXPECT_EQ(receive("b", 2, 40, 60), step::complete);
}

TEST_F(configuration_transfer_test, newerVersion_startsOver)
{
    EXPECT_EQ(receive("a", 2, 0, 40), step::incomplete);
    EXPECT_EQ(receive("a", 3, 0, 50), step::incomplete);
    EXPECT_EQ(m_transfer.version(), config_version { 3 });
    EXPECT_EQ(receive("a", 2, 40, 60), step::ignored);
    EXPECT_EQ(receive("a", 3, 50, 50), step::complete);
    EXPECT_EQ(m_transfer.take(), std::string(100, 'd'));
}

TEST_F(configuration_transfer_test, versionInForce_isIgnored)
{
    // A copy that comes too late must not cost the time to decode it.
    m_known = config_version { 2 };
    EXPECT_EQ(receive("a", 2, 0, 100), step::ignored);
}

TEST_F(configuration_transfer_test, partBeyondTheSize_isIgnored)
{
    EXPECT_EQ(receive("a", 2, 0, 101), step::ignored);
    EXPECT_EQ(receive("a", 2, 100, 1), step::ignored);
    EXPECT_EQ(receive("a", 2, 0, 0), step::ignored);
    EXPECT_EQ(receive("a", 2, 0, 10, 1U << 30), step::ignored);
}

} // namespace
} // namespace carawaylink::gateway
