#include "slot_test_fleet.h"

namespace carawaylink::placement {
namespace {

constexpr std::size_t nodes = 4;
constexpr unsigned slots = 10;

/// Four nodes in front of two endpoints. The first request runs on the endpoint that will leave.
class leaving_endpoint_test : public testing::Test {
protected:
    leaving_endpoint_test()
    {
        m_fleet.run(300ms);
        m_first = m_fleet.submit(0);
        m_fleet.run(50ms);
        m_leaver = m_fleet.grants.at(m_first).replica.value;
    }

    /// Submits this number of requests at a node.
    void load(std::size_t node, std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            m_submitted.push_back(m_fleet.submit(node));
    }

    void loadAll(std::size_t count)
    {
        for (std::size_t node = 0; node < nodes; ++node)
            load(node, count);
    }

    std::size_t grantsAtLeaver() const
    {
        const auto found = m_fleet.grantTimes.find(m_leaver);
        return found == m_fleet.grantTimes.end() ? 0 : found->second.size();
    }

    std::size_t runningElsewhere() const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(m_fleet.grants, [this](const auto& entry) { return entry.second.replica.value != m_leaver; }));
    }

    /// Registers the endpoints with the leaver's process started then.
    void registerLeaver(std::int64_t startedAtMs)
    {
        auto records = engineRecords(2, slots);
        for (auto& record : records) {
            if (record.id.value == m_leaver)
                record.startedAtMs = startedAtMs;
        }
        m_fleet.setRecords(records);
    }

    void unregisterLeaver()
    {
        auto records = engineRecords(2, slots);
        std::erase_if(records, [this](const discovery::endpoint_record& record) { return record.id.value == m_leaver; });
        m_fleet.setRecords(records);
    }

    slot_test_fleet m_fleet { nodes, engineRecords(2, slots) };
    std::uint64_t m_first = 0;
    std::string m_leaver;
    std::vector<std::uint64_t> m_submitted;
};

// Guards against grants of an owner to any node after the word came with one of many running answers; those go on.
TEST_F(leaving_endpoint_test, word_on_one_of_ten_running_answers_ends_the_grants_for_all_nodes)
{
    load(0, 19);
    m_fleet.run(50ms);
    ASSERT_EQ(m_fleet.grantsByEndpoint().at(m_leaver), slots);
    m_fleet.sayLeaving(m_first);
    m_fleet.run(20ms);
    const auto before = grantsAtLeaver();
    std::vector<std::uint64_t> running;
    for (const auto& [id, granted] : m_fleet.grants)
        running.push_back(id);
    for (const auto id : running)
        m_fleet.finish(id);
    loadAll(4);
    m_fleet.run(200ms);
    EXPECT_EQ(grantsAtLeaver(), before);
    EXPECT_EQ(runningElsewhere(), slots);
}

// Guards against a grant that was on its way when the word arrived: its request must wait again and run elsewhere, its slot be free.
TEST_F(leaving_endpoint_test, grant_under_way_when_the_word_arrives_is_declined_and_its_request_runs_elsewhere)
{
    load(0, 2 * slots - 1);
    m_fleet.run(50ms);
    ASSERT_EQ(m_fleet.grants.size(), 2 * slots);
    m_fleet.finish(m_first);
    m_fleet.run(20ms);
    const auto& owner = *m_fleet.owned(m_fleet.ownerOfPool()).pools().begin()->second;
    const auto last = m_fleet.submit(0);
    while (owner.load().running < 2 * slots)
        m_fleet.run(1ms);
    m_fleet.client(0).recordLeaving(replica_id { m_leaver }, m_fleet.now);
    m_fleet.run(20ms);
    ASSERT_EQ(m_fleet.declined.size(), 1U);
    EXPECT_EQ(m_fleet.declined.front().id, last);
    EXPECT_EQ(m_fleet.declined.front().reason, unusable_reason::leaving);
    EXPECT_EQ(owner.load().running, 2 * slots - 1);

    const auto other = std::ranges::find_if(m_fleet.grants, [&](const auto& entry) { return entry.second.replica.value != m_leaver; });
    m_fleet.finish(other->first);
    m_fleet.run(20ms);
    ASSERT_TRUE(m_fleet.grants.contains(last));
    EXPECT_NE(m_fleet.grants.at(last).replica.value, m_leaver);
}

// Guards against a node that decides without its owner and forgets what it was told itself.
TEST_F(leaving_endpoint_test, node_without_its_owner_keeps_the_word_that_it_heard_itself)
{
    m_fleet.sayLeaving(m_first);
    const auto before = grantsAtLeaver();
    m_fleet.cut(m_fleet.ownerOfPool());
    m_fleet.run(300ms);
    load(0, 6);
    m_fleet.run(300ms);
    EXPECT_EQ(grantsAtLeaver(), before);
}

// Guards against a word that is lost with the entry of the registry, or by a stale copy that lists the same process as ready again.
TEST_F(leaving_endpoint_test, word_outlives_an_entry_that_is_missing_and_comes_back)
{
    m_fleet.sayLeaving(m_first);
    m_fleet.run(20ms);
    m_fleet.finish(m_first);
    unregisterLeaver();
    m_fleet.run(3s);
    registerLeaver(1);
    const auto before = grantsAtLeaver();
    loadAll(5);
    m_fleet.run(300ms);
    EXPECT_EQ(grantsAtLeaver(), before);
    EXPECT_EQ(runningElsewhere(), slots);
}

// Guards against an endpoint that stays unused after its restart under the same id and address.
TEST_F(leaving_endpoint_test, word_ends_with_the_next_start_of_the_process)
{
    m_fleet.sayLeaving(m_first);
    m_fleet.run(20ms);
    m_fleet.end(m_first, outcome::broken);
    registerLeaver(2);
    const auto before = grantsAtLeaver();
    loadAll(5);
    m_fleet.run(300ms);
    EXPECT_EQ(grantsAtLeaver(), before + slots);
}

// Guards against a word about an ended process that reaches the owner after the next one has registered.
TEST_F(leaving_endpoint_test, word_of_an_earlier_process_does_not_count_for_the_next_one)
{
    service_pool pool;
    pool.setEndpoints(engineRecords(1, slots), m_fleet.now);
    EXPECT_FALSE(pool.setLeaving(replica_id { "engine-0" }, 0));
    EXPECT_FALSE(pool.whyUnusable(replica_id { "engine-0" }, {}, m_fleet.now));
    EXPECT_TRUE(pool.setLeaving(replica_id { "engine-0" }, 1));
    EXPECT_EQ(pool.whyUnusable(replica_id { "engine-0" }, {}, m_fleet.now), unusable_reason::leaving);
}

// Guards against a new owner that lists the endpoint as ready and was not told.
TEST_F(leaving_endpoint_test, next_owner_of_the_pool_learns_the_word)
{
    m_fleet.sayLeaving(m_first);
    m_fleet.run(20ms);
    const auto before = grantsAtLeaver();
    m_fleet.setLiveWithout(m_fleet.ownerOfPool());
    m_fleet.run(300ms);
    load(0, 5);
    m_fleet.run(300ms);
    EXPECT_EQ(grantsAtLeaver(), before);
}

// Guards against grants that come back in a loop from an owner that does not understand the word, as an older version.
TEST_F(leaving_endpoint_test, owner_that_never_learns_the_word_grants_each_request_once_more_at_most)
{
    m_fleet.beforeCall = [](slot_call& call) { call.notices.clear(); };
    m_fleet.sayLeaving(m_first);
    const auto before = grantsAtLeaver();
    load(0, 8);
    m_fleet.run(500ms);
    EXPECT_EQ(grantsAtLeaver(), before);
    EXPECT_EQ(runningElsewhere(), 8U);
    EXPECT_LE(m_fleet.declined.size(), 8U);
    EXPECT_GT(m_fleet.declined.size(), 0U);
}

} // namespace
} // namespace carawaylink::placement
