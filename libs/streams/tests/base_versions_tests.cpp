#include "streams/base_versions.h"

#include <gtest/gtest.h>

namespace carawaylink::streams {
namespace {

using namespace std::chrono_literals;

const service_id service { "llm" };

class base_versions_test : public testing::Test {
protected:
    base_versions_test() { m_bases.setServices({ service }); }

    void list(std::size_t old, std::size_t added)
    {
        std::vector<discovery::endpoint_record> records;
        for (std::size_t number = 0; number < old + added; ++number) {
            discovery::endpoint_record record { discovery::replica_id { "i-" + std::to_string(number) }, service };
            record.version = number < old ? "v1" : "v2";
            records.push_back(record);
        }
        m_bases.setEndpoints({ { service, records } }, m_now);
    }

    void read(const base_versions::bases& bases) { m_bases.setBases(bases, m_now); }

    base_versions m_bases;
    monotonic_time m_now { 1000s };
};

TEST_F(base_versions_test, firstBase_isTheVersionWithMostEndpoints)
{
    list(3, 1);
    EXPECT_TRUE(m_bases.due(m_now).empty()) << "the store was not read";
    read({});
    EXPECT_EQ(m_bases.due(m_now), (std::vector<software_version> { { service, "v1" } }));
    read({ { service, "v1" } });
    EXPECT_TRUE(m_bases.due(m_now).empty());
}

TEST_F(base_versions_test, onlyTheBase_needsNoRecord)
{
    list(1, 1);
    EXPECT_FALSE(m_bases.isUnrecorded({ service, "v1" })) << "without a base, each stream needs a record";
    read({ { service, "v1" } });
    EXPECT_TRUE(m_bases.isUnrecorded({ service, "v1" }));
    EXPECT_FALSE(m_bases.isUnrecorded({ service, "v2" }));
}

// Guards against a node that misses a move of the base while the old base has no endpoint, and then takes its return for the base.
TEST_F(base_versions_test, baseThatReturns_needsRecordsUntilItWasReadAgain)
{
    list(1, 1);
    read({ { service, "v1" } });
    list(0, 1);
    m_now += 10s;
    list(1, 1);
    EXPECT_FALSE(m_bases.isUnrecorded({ service, "v1" }));
    EXPECT_TRUE(m_bases.needsRead(1s));
    read({ { service, "v1" } });
    EXPECT_TRUE(m_bases.isUnrecorded({ service, "v1" }));
    EXPECT_FALSE(m_bases.needsRead(1s));
}

// Guards against a stream of the old base that is taken for one of the new base, since it has no record.
TEST_F(base_versions_test, base_movesOnlyWhenCallersOfItsStreamsCannotReturn)
{
    list(1, 1);
    read({ { service, "v1" } });
    list(0, 1);
    m_now += streamReturnTime - 1ms;
    EXPECT_TRUE(m_bases.due(m_now).empty());
    m_now += 1ms;
    EXPECT_EQ(m_bases.due(m_now), (std::vector<software_version> { { service, "v2" } }));
}

TEST_F(base_versions_test, baseThatReturnsInTime_stays)
{
    list(1, 1);
    read({ { service, "v1" } });
    list(0, 1);
    m_now += 100s;
    list(1, 1);
    m_now += 100s;
    EXPECT_TRUE(m_bases.due(m_now).empty());
}

// Guards against another base after the store came back from a copy that lacks the present one.
TEST_F(base_versions_test, baseThatTheStoreLost_isWrittenAgain)
{
    list(1, 3);
    read({ { service, "v1" } });
    read({});
    EXPECT_FALSE(m_bases.isUnrecorded({ service, "v1" }));
    EXPECT_EQ(m_bases.due(m_now), (std::vector<software_version> { { service, "v1" } }));
}

} // namespace
} // namespace carawaylink::streams
