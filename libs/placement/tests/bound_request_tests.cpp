#include "placement/service_pool.h"
#include "slot_test_fleet.h"

namespace carawaylink::placement {
namespace {

constexpr unsigned slots = 4;

/// Requests that only one version of the software may answer.
class bound_request_test : public testing::Test {
protected:
    static std::vector<discovery::endpoint_record> records(std::size_t old, std::size_t added)
    {
        auto result = engineRecords(old + added, slots);
        for (std::size_t number = 0; number < result.size(); ++number)
            result[number].version = number < old ? "v1" : "v2";
        return result;
    }

    waiting_request request(std::uint64_t id, const std::string& version) const
    {
        auto result = engineRequest(id, tokens { 100 }, m_now);
        result.version = version;
        return result;
    }

    monotonic_time m_now { 1000s };
};

TEST_F(bound_request_test, request_isGrantedAnEndpointOfItsVersion)
{
    service_pool pool;
    pool.setEndpoints(records(6, 1), m_now);
    for (std::uint64_t id = 1; id <= slots; ++id)
        pool.submit(request(id, "v2"));
    const auto decisions = pool.decide(m_now);
    ASSERT_EQ(decisions.grants.size(), slots);
    for (const auto& granted : decisions.grants)
        EXPECT_EQ(granted.replica, replica_id { "engine-6" });
}

TEST_F(bound_request_test, request_waitsWhileItsVersionIsFull)
{
    service_pool pool;
    pool.setEndpoints(records(6, 1), m_now);
    for (std::uint64_t id = 1; id <= slots + 1; ++id)
        pool.submit(request(id, "v2"));
    EXPECT_EQ(pool.decide(m_now).grants.size(), slots);
    EXPECT_EQ(pool.waitingCount(), 1U);
}

// Guards against a caller that waits until its deadline for a version that does not come back, also in the middle of its answer.
TEST_F(bound_request_test, request_isRefusedAtOnceIfItsVersionHasLeft)
{
    service_pool pool;
    auto listed = records(2, 1);
    listed.back().draining = true;
    pool.setEndpoints(listed, m_now);
    auto started = request(1, "v2");
    started.responseStarted = true;
    pool.submit(started);
    const auto decisions = pool.decide(m_now);
    ASSERT_EQ(decisions.refusals.size(), 1U);
    EXPECT_EQ(decisions.refusals.front().cause, refusal_cause::version_gone);
}

// In a service of several pools the version may be served in one of them only.
TEST_F(bound_request_test, request_goesToThePoolThatHasItsVersion)
{
    auto listed = records(200, 0);
    listed[150].version = "v2";
    slot_test_fleet fleet(6, listed);
    fleet.run(300ms);
    std::vector<std::uint64_t> ids;
    for (std::size_t node = 0; node < 6; ++node)
        ids.push_back(fleet.submitBound(node, "v2"));
    fleet.run(500ms);
    std::size_t granted = 0;
    for (const auto id : ids) {
        const auto found = fleet.grants.find(id);
        if (found == fleet.grants.end())
            continue;
        EXPECT_EQ(found->second.replica, listed[150].id);
        ++granted;
    }
    EXPECT_EQ(granted, slots);
}

} // namespace
} // namespace carawaylink::placement
