#include "endpoint_registry.h"
#include "gateway_test_fixture.h"

#include <gtest/gtest.h>

namespace carawaylink::gateway {
namespace {

using namespace std::chrono_literals;

// Values name the state of an endpoint: "ready" or "draining".
class state_codec : public test_codec {
public:
    discovery::registry_change decodeEndpoint(const store_record& record) const override
    {
        discovery::registry_change change { discovery::replica_id { record.key }, std::nullopt };
        if (record.value)
            change.record = { change.id, service_id { "s" }, endpoint_id { record.key + ":80" }, failure_domain { "a" }, 4,
                *record.value == "draining", 1 };
        return change;
    }
};

class endpoint_registry_test : public testing::Test {
protected:
    peer::store_copyT copyOf(const endpoint_registry& from, std::uint64_t offset)
    {
        peer::store_copyT copy;
        from.fillCopy(copy, offset, m_now);
        return copy;
    }

    state_codec m_codec;
    decision_log m_log { "test" };
    endpoint_registry m_reader { m_codec, m_log };
    endpoint_registry m_other { m_codec, m_log };
    monotonic_time m_now { 100s };
};

TEST_F(endpoint_registry_test, removalInTheCopyOfAnUninterruptedPeer_takesEffectAtOnce)
{
    // platecommons-grown trouble-1: nodes that the store turned away held the removal back for 2.2 s on top of the time of the read,
    // and sent requests to an endpoint 3,109 ms after it had left without notice.
    m_reader.replaceAll({ { "a", "ready" }, { "b", "ready" } }, 10, m_now);
    m_other.applyCopy(copyOf(m_reader, 10), false, m_now);
    ASSERT_EQ(m_other.records().size(), 2U);
    m_reader.apply({ { "b", std::nullopt } }, 11, m_now);
    EXPECT_TRUE(m_other.applyCopy(copyOf(m_reader, 11), false, m_now));
    EXPECT_EQ(m_other.records().size(), 1U);
}

TEST_F(endpoint_registry_test, removalAfterAnOutageOfThePeer_isHeldBack)
{
    // Entries that lapsed while the store was away come back within two seconds; their endpoints serve all the while.
    m_reader.replaceAll({ { "a", "ready" }, { "b", "ready" } }, 10, m_now);
    m_other.applyCopy(copyOf(m_reader, 10), false, m_now);
    m_reader.storeReturned(5s, m_now);
    m_reader.apply({ { "b", std::nullopt } }, 11, m_now);
    EXPECT_EQ(m_reader.records().size(), 2U);
    m_other.applyCopy(copyOf(m_reader, 11), false, m_now);
    EXPECT_EQ(m_other.records().size(), 2U);
    EXPECT_TRUE(m_other.expire(11, m_now + 3s));
    EXPECT_EQ(m_other.records().size(), 1U);
}

TEST_F(endpoint_registry_test, removalHeldBackByAPeer_isHeldNoLongerThanThere)
{
    // inc-921b of platecommons: the copy came 0.8 s after the store, the receivers held for 2.2 s from then, and sent requests 2,153 ms
    // after the endpoint had left (bound 2,000 ms).
    m_reader.replaceAll({ { "a", "ready" }, { "b", "ready" } }, 10, m_now);
    m_other.applyCopy(copyOf(m_reader, 10), false, m_now);
    m_reader.storeReturned(5s, m_now);
    m_now += 800ms;
    m_reader.apply({ { "b", std::nullopt } }, 11, m_now);
    m_other.applyCopy(copyOf(m_reader, 11), false, m_now);
    EXPECT_EQ(m_other.records().size(), 2U);
    EXPECT_TRUE(m_other.expire(11, m_now + 1450ms));
    EXPECT_EQ(m_other.records().size(), 1U);
}

TEST_F(endpoint_registry_test, removalHeldBackByAPeer_takesEffectAtOnceWhereTheStoreWasNotLost)
{
    // The peer alone lost the store; this node would have seen an outage itself.
    m_reader.replaceAll({ { "a", "ready" }, { "b", "ready" } }, 10, m_now);
    m_other.replaceAll({ { "a", "ready" }, { "b", "ready" } }, 10, m_now);
    m_reader.storeReturned(5s, m_now);
    m_reader.apply({ { "b", std::nullopt } }, 11, m_now);
    m_other.applyCopy(copyOf(m_reader, 11), true, m_now);
    EXPECT_EQ(m_other.records().size(), 1U);
}

TEST_F(endpoint_registry_test, removalHeldBackHere_isCarriedOutByTheNewsOfAnUninterruptedPeer)
{
    // This node alone lost the store; the removal that it holds back is real.
    m_reader.replaceAll({ { "a", "ready" }, { "b", "ready" } }, 10, m_now);
    m_other.replaceAll({ { "a", "ready" }, { "b", "ready" } }, 10, m_now);
    m_other.storeReturned(5s, m_now);
    m_other.apply({ { "b", std::nullopt } }, 11, m_now);
    ASSERT_EQ(m_other.records().size(), 2U);
    m_reader.apply({ { "b", std::nullopt } }, 12, m_now);
    m_other.applyCopy(copyOf(m_reader, 12), true, m_now);
    EXPECT_EQ(m_other.records().size(), 1U);
}

TEST_F(endpoint_registry_test, changeFromACopy_countsAsAChangeHere)
{
    // A third node that has not got the copy must not take this node's later offset for news that it has.
    m_reader.replaceAll({ { "a", "ready" } }, 10, m_now);
    m_other.replaceAll({ { "a", "ready" } }, 10, m_now);
    m_reader.apply({ { "a", "draining" } }, 15, m_now);
    m_other.applyCopy(copyOf(m_reader, 15), true, m_now);
    EXPECT_TRUE(m_other.records().begin()->second.draining);
    EXPECT_EQ(m_other.changedOffset(), 15U);
    EXPECT_FALSE(m_other.apply({ { "a", "draining" } }, 18, m_now));
    EXPECT_EQ(m_other.changedOffset(), 15U);
}

} // namespace
} // namespace carawaylink::gateway
