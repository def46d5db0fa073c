#include "discovery/endpoint_table.h"

#include <gtest/gtest.h>

namespace carawaylink::discovery {
namespace {

using namespace std::chrono_literals;

class endpoint_table_test : public testing::Test {
protected:
    static registry_change registered(const std::string& id, bool draining = false)
    {
        return { replica_id { id },
            endpoint_record {
                replica_id { id }, service_id { "s" }, endpoint_id { "10.0.0.1:80" }, failure_domain { "a" }, 4, draining, 1 } };
    }
    static registry_change removed(const std::string& id) { return { replica_id { id }, std::nullopt }; }

    endpoint_table m_table;
    monotonic_time m_now { 100s };
};

TEST_F(endpoint_table_test, unchangedRecord_isNoChange)
{
    // Guards against heartbeats that trigger placement decisions.
    EXPECT_TRUE(m_table.apply(registered("a"), m_now));
    EXPECT_FALSE(m_table.apply(registered("a"), m_now));
}

TEST_F(endpoint_table_test, drainingState_isAChange)
{
    m_table.apply(registered("a"), m_now);
    EXPECT_TRUE(m_table.apply(registered("a", true), m_now));
    EXPECT_TRUE(m_table.records().at(replica_id { "a" }).draining);
}

TEST_F(endpoint_table_test, removal_takesEffectImmediately)
{
    m_table.apply(registered("a"), m_now);
    EXPECT_TRUE(m_table.apply(removed("a"), m_now));
    EXPECT_TRUE(m_table.records().empty());
}

TEST_F(endpoint_table_test, removal_duringHold_isCancelledByRegistration)
{
    // After an outage the store drops entries of live endpoints; removing them all at once would refuse every request.
    m_table.apply(registered("a"), m_now);
    m_table.holdRemovals(m_now + 2s);
    EXPECT_FALSE(m_table.apply(removed("a"), m_now + 100ms));
    EXPECT_FALSE(m_table.expire(m_now + 1s));
    m_table.apply(registered("a"), m_now + 1500ms);
    EXPECT_FALSE(m_table.expire(m_now + 3s));
    EXPECT_EQ(m_table.records().size(), 1U);
}

TEST_F(endpoint_table_test, deferredRemoval_withoutRegistration_isApplied)
{
    m_table.apply(registered("a"), m_now);
    m_table.holdRemovals(m_now + 2s);
    m_table.apply(removed("a"), m_now + 100ms);
    EXPECT_TRUE(m_table.expire(m_now + 2s));
    EXPECT_TRUE(m_table.records().empty());
}

TEST_F(endpoint_table_test, deferredRemoval_isNotListed)
{
    // A node reported an endpoint as listed by the registry although it had only deferred the removal. Its peers ignored the removal and
    // sent requests for 2 s longer than permitted.
    m_table.apply(registered("a"), m_now);
    EXPECT_TRUE(m_table.isListed(replica_id { "a" }));
    m_table.holdRemovals(m_now + 2s);
    m_table.apply(removed("a"), m_now + 100ms);
    EXPECT_TRUE(m_table.records().contains(replica_id { "a" }));
    EXPECT_FALSE(m_table.isListed(replica_id { "a" }));
    m_table.apply(registered("a"), m_now + 200ms);
    EXPECT_TRUE(m_table.isListed(replica_id { "a" }));
}

TEST_F(endpoint_table_test, repeatedSnapshotsWithoutEndpoint_doNotExtendItsHold)
{
    // A node that cannot reach the store receives such copies several times a second.
    m_table.apply(registered("a"), m_now);
    for (int i = 0; i < 10; ++i) {
        const auto at = m_now + i * 400ms;
        m_table.holdRemovals(at + 2s);
        m_table.replaceAll({}, at);
        m_table.expire(at);
    }
    EXPECT_TRUE(m_table.records().empty());
}

TEST_F(endpoint_table_test, completeList_removesMissingEntries)
{
    m_table.apply(registered("a"), m_now);
    m_table.apply(registered("b"), m_now);
    EXPECT_TRUE(m_table.replaceAll({ registered("b") }, m_now));
    EXPECT_FALSE(m_table.records().contains(replica_id { "a" }));
}

TEST_F(endpoint_table_test, drainingEndpoint_isNotReadyAgainByAnOlderEntry)
{
    // A store that comes back from an older copy lists a process that drains as ready.
    m_table.apply(registered("a", true), m_now);
    EXPECT_FALSE(m_table.apply(registered("a"), m_now));
    EXPECT_TRUE(m_table.records().at(replica_id { "a" }).draining);
    auto restarted = registered("a");
    restarted.record->startedAtMs = 2;
    EXPECT_TRUE(m_table.apply(restarted, m_now));
    EXPECT_FALSE(m_table.records().at(replica_id { "a" }).draining);
}

TEST_F(endpoint_table_test, olderTable_endpointThatHasLeft_doesNotReturnAtOnce)
{
    // Its removal is not in the copy yet, so that its entry looked like an addition; requests went to an endpoint that had left.
    m_table.replaceAll({ registered("a"), registered("b") }, m_now);
    m_table.apply(removed("b"), m_now);
    EXPECT_FALSE(m_table.merge({ registered("a"), registered("b") }, m_now + 2s, m_now + 6s, m_now));
    EXPECT_EQ(m_table.records().size(), 1U);
    EXPECT_TRUE(m_table.isKnown(replica_id { "b" }));
    EXPECT_FALSE(m_table.expire(m_now + 5s));
    m_table.apply(removed("b"), m_now + 5s);
    EXPECT_FALSE(m_table.expire(m_now + 7s));
    EXPECT_EQ(m_table.records().size(), 1U);
}

TEST_F(endpoint_table_test, olderTable_endpointThatHadExpired_returnsIfItsEntryStays)
{
    // The store drops entries of live endpoints in an outage, too.
    m_table.replaceAll({ registered("a") }, m_now);
    m_table.apply(removed("a"), m_now);
    m_table.merge({ registered("a") }, m_now + 2s, m_now + 6s, m_now);
    EXPECT_TRUE(m_table.expire(m_now + 6s));
    EXPECT_EQ(m_table.records().size(), 1U);
}

TEST_F(endpoint_table_test, olderTable_endpointThatHadLeft_returnsAtOnceIfItRegistersOrStartsAgain)
{
    m_table.replaceAll({ registered("a"), registered("b") }, m_now);
    m_table.apply(removed("a"), m_now);
    m_table.apply(removed("b"), m_now);
    auto restarted = registered("b");
    restarted.record->startedAtMs = 2;
    EXPECT_TRUE(m_table.merge({ registered("a"), restarted }, m_now + 2s, m_now + 6s, m_now));
    EXPECT_EQ(m_table.records().size(), 1U);
    EXPECT_TRUE(m_table.apply(registered("a"), m_now));
    EXPECT_EQ(m_table.records().size(), 2U);
}

TEST_F(endpoint_table_test, olderTable_endpointThatItLacks_isKeptUntilItCanHaveRegistered)
{
    // What the endpoints wrote since the copy is written again; until then their entries look like removals.
    m_table.replaceAll({ registered("a"), registered("b"), registered("c") }, m_now);
    m_table.merge({ registered("a") }, m_now + 2s, m_now + 6s, m_now);
    EXPECT_EQ(m_table.records().size(), 3U);
    m_table.apply(registered("b"), m_now + 1s);
    EXPECT_TRUE(m_table.expire(m_now + 2s));
    EXPECT_EQ(m_table.records().size(), 2U);
    EXPECT_TRUE(m_table.isListed(replica_id { "b" }));
}

TEST_F(endpoint_table_test, olderTable_earlierProcessOfAnEndpoint_doesNotReplaceTheLaterOne)
{
    auto restarted = registered("a");
    restarted.record->startedAtMs = 2;
    m_table.replaceAll({ restarted }, m_now);
    EXPECT_FALSE(m_table.merge({ registered("a") }, m_now + 2s, m_now + 6s, m_now));
    EXPECT_EQ(m_table.records().at(replica_id { "a" }).startedAtMs, 2);
}

} // namespace
} // namespace carawaylink::discovery
