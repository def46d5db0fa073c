#include "endpoint_registry.h"
#include "gateway_test_fixture.h"

#include <gtest/gtest.h>

namespace carawaylink::gateway {
namespace {

using namespace std::chrono_literals;

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
    endpoint_registry m_receiver { m_codec, m_log };
    monotonic_time m_now { 100s };
};

TEST_F(endpoint_registry_test, removalInCopyOfPeerWithoutOutage_takesEffectImmediately)
{
    // Nodes that the store refused to serve deferred the removal by 2.2 s on top of the read interval, and sent requests to an
    // endpoint 3,109 ms after it had left without notice (platecommons-grown trouble-1).
    m_reader.replaceAll({ { "a", "ready" }, { "b", "ready" } }, 10, m_now);
    m_receiver.applyCopy(copyOf(m_reader, 10), false, m_now);
    ASSERT_EQ(m_receiver.records().size(), 2U);
    m_reader.apply({ { "b", std::nullopt } }, 11, m_now);
    EXPECT_TRUE(m_receiver.applyCopy(copyOf(m_reader, 11), false, m_now));
    EXPECT_EQ(m_receiver.records().size(), 1U);
}

TEST_F(endpoint_registry_test, removalInCopyAfterOutageOfPeer_isDeferred)
{
    // Entries that expire during a store outage are registered again within two seconds, while their endpoints keep serving.
    m_reader.replaceAll({ { "a", "ready" }, { "b", "ready" } }, 10, m_now);
    m_receiver.applyCopy(copyOf(m_reader, 10), false, m_now);
    m_reader.onStoreReconnected(5s, m_now);
    m_reader.apply({ { "b", std::nullopt } }, 11, m_now);
    EXPECT_EQ(m_reader.records().size(), 2U);
    m_receiver.applyCopy(copyOf(m_reader, 11), false, m_now);
    EXPECT_EQ(m_receiver.records().size(), 2U);
    EXPECT_TRUE(m_receiver.expire(11, m_now + 3s));
    EXPECT_EQ(m_receiver.records().size(), 1U);
}

TEST_F(endpoint_registry_test, removalDeferredByPeer_isAppliedNoLaterThanByPeer)
{
    // The copy arrived 0.8 s after the store had returned, its receivers deferred the removal by 2.2 s from then on, and sent requests
    // 2,153 ms after the endpoint had left (limit 2,000 ms; inc-921b of platecommons).
    m_reader.replaceAll({ { "a", "ready" }, { "b", "ready" } }, 10, m_now);
    m_receiver.applyCopy(copyOf(m_reader, 10), false, m_now);
    m_reader.onStoreReconnected(5s, m_now);
    m_now += 800ms;
    m_reader.apply({ { "b", std::nullopt } }, 11, m_now);
    m_receiver.applyCopy(copyOf(m_reader, 11), false, m_now);
    EXPECT_EQ(m_receiver.records().size(), 2U);
    EXPECT_TRUE(m_receiver.expire(11, m_now + 1450ms));
    EXPECT_EQ(m_receiver.records().size(), 1U);
}

TEST_F(endpoint_registry_test, removalDeferredByPeer_takesEffectImmediatelyIfThisNodeReachesStore)
{
    // Only the peer lost the store; this node would have detected an outage itself.
    m_reader.replaceAll({ { "a", "ready" }, { "b", "ready" } }, 10, m_now);
    m_receiver.replaceAll({ { "a", "ready" }, { "b", "ready" } }, 10, m_now);
    m_reader.onStoreReconnected(5s, m_now);
    m_reader.apply({ { "b", std::nullopt } }, 11, m_now);
    m_receiver.applyCopy(copyOf(m_reader, 11), true, m_now);
    EXPECT_EQ(m_receiver.records().size(), 1U);
}

TEST_F(endpoint_registry_test, removalDeferredHere_takesEffectWithCopyOfPeerWithoutOutage)
{
    // Only this node lost the store; the deferred removal is genuine.
    m_reader.replaceAll({ { "a", "ready" }, { "b", "ready" } }, 10, m_now);
    m_receiver.replaceAll({ { "a", "ready" }, { "b", "ready" } }, 10, m_now);
    m_receiver.onStoreReconnected(5s, m_now);
    m_receiver.apply({ { "b", std::nullopt } }, 11, m_now);
    ASSERT_EQ(m_receiver.records().size(), 2U);
    m_reader.apply({ { "b", std::nullopt } }, 12, m_now);
    m_receiver.applyCopy(copyOf(m_reader, 12), true, m_now);
    EXPECT_EQ(m_receiver.records().size(), 1U);
}

TEST_F(endpoint_registry_test, changeFromCopy_advancesChangedOffset)
{
    // A third node that has not received the copy must not conclude from this node's later offset that it is up to date.
    m_reader.replaceAll({ { "a", "ready" } }, 10, m_now);
    m_receiver.replaceAll({ { "a", "ready" } }, 10, m_now);
    m_reader.apply({ { "a", "draining" } }, 15, m_now);
    m_receiver.applyCopy(copyOf(m_reader, 15), true, m_now);
    EXPECT_TRUE(m_receiver.records().begin()->second.draining);
    EXPECT_EQ(m_receiver.changedOffset(), 15U);
    EXPECT_FALSE(m_receiver.apply({ { "a", "draining" } }, 18, m_now));
    EXPECT_EQ(m_receiver.changedOffset(), 15U);
}

TEST_F(endpoint_registry_test, update_carriesOnlyWhatChangedAfterItsBase)
{
    // Sending all endpoints on each change filled the links of small vms: 169 entries to 117 nodes.
    m_reader.replaceAll({ { "a", "ready" }, { "b", "ready" }, { "c", "ready" } }, 10, m_now);
    m_receiver.replaceAll({ { "a", "ready" }, { "b", "ready" }, { "c", "ready" } }, 10, m_now);
    m_reader.apply({ { "a", "ready" }, { "b", "draining" }, { "c", std::nullopt } }, 20, m_now);
    peer::store_updateT update;
    update.base_offset = 10;
    update.offset = 20;
    m_reader.fillUpdate(update, m_now);
    EXPECT_EQ(update.changes.size(), 2U);
    EXPECT_TRUE(m_receiver.applyUpdate(update, 10, true, m_now));
    EXPECT_EQ(m_receiver.records(), m_reader.records());
    EXPECT_EQ(m_receiver.changedOffset(), 20U);
}

TEST_F(endpoint_registry_test, updateOfRestartedReader_claimsNothingAboutRemovalsBeforeItsStart)
{
    // A restarted reader passed on its snapshot as all changes since the beginning. Nodes that had not read the removal of an endpoint yet
    // took it for complete, and sent requests 2.2 s after the endpoint had left (platecommons lost-readers, seed 1072832969117).
    m_receiver.replaceAll({ { "a", "ready" }, { "b", "ready" } }, 10, m_now);
    m_reader.replaceAll({ { "a", "ready" } }, 11, m_now);
    peer::store_updateT update;
    update.base_offset = 0;
    update.offset = 11;
    m_reader.fillUpdate(update, m_now);
    EXPECT_EQ(update.base_offset, 11U) << "a receiver at offset 10 must read the store itself";
    EXPECT_TRUE(update.changes.empty());
}

TEST_F(endpoint_registry_test, removalInUpdateOfReaderWithoutOutage_takesEffectImmediately)
{
    // As for copies: a removal deferred on top of the read interval lets requests reach an endpoint that has left.
    m_reader.replaceAll({ { "a", "ready" }, { "b", "ready" } }, 10, m_now);
    m_receiver.replaceAll({ { "a", "ready" }, { "b", "ready" } }, 10, m_now);
    m_receiver.onStoreReconnected(5s, m_now);
    m_reader.apply({ { "b", std::nullopt } }, 11, m_now);
    peer::store_updateT update;
    update.base_offset = 10;
    update.offset = 11;
    m_reader.fillUpdate(update, m_now);
    m_receiver.applyUpdate(update, 10, false, m_now);
    EXPECT_EQ(m_receiver.records().size(), 1U);
}

TEST_F(endpoint_registry_test, removalDeferredHere_takesEffectWithUpdateOfReaderWithoutOutageAtTheSameOffset)
{
    // A node that had been cut off from the store read the removal itself and deferred it; the reader's updates had no news for it, and it
    // sent a request 2,301 ms after the endpoint had left (platecommons, hunt-bf4e-27).
    m_reader.replaceAll({ { "a", "ready" }, { "b", "ready" } }, 10, m_now);
    m_receiver.replaceAll({ { "a", "ready" }, { "b", "ready" } }, 10, m_now);
    m_receiver.onStoreReconnected(5s, m_now);
    for (auto* node : { &m_reader, &m_receiver })
        node->apply({ { "b", std::nullopt } }, 11, m_now);
    ASSERT_EQ(m_receiver.records().size(), 2U);
    peer::store_updateT update;
    update.base_offset = 10;
    update.offset = 11;
    m_reader.fillUpdate(update, m_now);
    m_receiver.applyUpdate(update, 11, true, m_now);
    EXPECT_TRUE(m_receiver.expire(11, m_now));
    EXPECT_EQ(m_receiver.records().size(), 1U);
}

TEST_F(endpoint_registry_test, removalDeferredHere_staysDeferredByUpdateOfReaderThatHasNotReadIt)
{
    // What a reader knew before does not tell whether the removal is genuine.
    m_reader.replaceAll({ { "a", "ready" }, { "b", "ready" } }, 10, m_now);
    m_receiver.replaceAll({ { "a", "ready" }, { "b", "ready" } }, 10, m_now);
    m_receiver.onStoreReconnected(5s, m_now);
    m_receiver.apply({ { "b", std::nullopt } }, 11, m_now);
    peer::store_updateT update;
    update.base_offset = 9;
    update.offset = 10;
    m_reader.fillUpdate(update, m_now);
    EXPECT_FALSE(m_receiver.applyUpdate(update, 11, true, m_now));
    EXPECT_FALSE(m_receiver.expire(11, m_now));
    EXPECT_EQ(m_receiver.records().size(), 2U);
}

TEST_F(endpoint_registry_test, removalDeferredByReader_isDeferredByNodesWithoutStore)
{
    // Entries that expire during an outage of the store are registered again within two seconds.
    m_reader.replaceAll({ { "a", "ready" }, { "b", "ready" } }, 10, m_now);
    m_receiver.applyCopy(copyOf(m_reader, 10), false, m_now);
    m_reader.onStoreReconnected(5s, m_now);
    m_reader.apply({ { "b", std::nullopt } }, 11, m_now);
    peer::store_updateT update;
    update.base_offset = 10;
    update.offset = 11;
    m_reader.fillUpdate(update, m_now);
    m_receiver.applyUpdate(update, 10, false, m_now);
    EXPECT_EQ(m_receiver.records().size(), 2U);
    EXPECT_TRUE(m_receiver.expire(11, m_now + 3s));
    EXPECT_EQ(m_receiver.records().size(), 1U);
}

TEST_F(endpoint_registry_test, olderCopyOfStore_isMergedAndPassedOnFromItsEndOnly)
{
    // Offsets of the log before would tell receivers that they know changes which they have never seen.
    m_reader.replaceAll({ { "a", "ready" }, { "b", "ready" }, { "c", "ready" } }, 20, m_now);
    m_reader.apply({ { "b", std::nullopt } }, 21, m_now);
    m_reader.onHistoryChanged();
    m_reader.replaceAll({ { "a", "ready" }, { "b", "ready" } }, 8, m_now);
    EXPECT_EQ(m_reader.records().size(), 2U);
    EXPECT_TRUE(m_reader.records().contains(discovery::replica_id { "c" }));
    EXPECT_FALSE(m_reader.records().contains(discovery::replica_id { "b" }));

    m_reader.apply({ { "d", "ready" } }, 9, m_now);
    peer::store_updateT update;
    update.offset = 9;
    m_reader.fillUpdate(update, m_now);
    EXPECT_EQ(update.base_offset, 8U);
    ASSERT_EQ(update.changes.size(), 1U);
    EXPECT_EQ(update.changes.front()->key, "d");
    EXPECT_TRUE(m_reader.expire(9, m_now + 3s));
    EXPECT_FALSE(m_reader.records().contains(discovery::replica_id { "c" }));
}

} // namespace
} // namespace carawaylink::gateway
