#include "simulated_service.h"

#include <gtest/gtest.h>

namespace carawaylink::rollout {
namespace {

constexpr unsigned seeds = 20;

class decider_test : public testing::Test {
protected:
    /// Plays one order with each seed, with all endpoints listed, and hands each service to the check.
    static void play(const simulated_load& load, const simulated_fault& fault, const std::function<void(simulated_service&)>& check)
    {
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            SCOPED_TRACE("seed " + std::to_string(seed));
            auto service = make(load, fault, seed);
            service.run(13s);
            check(service);
        }
    }

    static simulated_service make(const simulated_load& load, const simulated_fault& fault, unsigned seed = 1)
    {
        simulated_service service(load, fault, seed);
        service.targetListed = load.targetEndpoints;
        service.oldListed = load.oldEndpoints;
        return service;
    }

    static void expectCompleted(simulated_service& service)
    {
        ASSERT_TRUE(service.isFinal());
        EXPECT_EQ(service.finalStage(), stage::completed) << service.written->reason;
        EXPECT_LE(service.finalAt, service.orderedAt + 12s);
    }

    static void expectReverted(simulated_service& service)
    {
        ASSERT_TRUE(service.isFinal());
        EXPECT_EQ(service.finalStage(), stage::reverted);
        EXPECT_LE(service.finalAt, service.orderedAt + 12s);
        EXPECT_LE(static_cast<double>(service.targetRequests), service.allowedExposure());
        EXPECT_EQ(service.lateTargetRequests, 0U);
        EXPECT_EQ(service.targetRequestsAfterRevert, 0U);
    }
};

// Guards against good versions that are reverted by chance.
TEST_F(decider_test, goodVersion_onEqualEndpoints_isCompleted)
{
    play({}, {}, expectCompleted);
}

TEST_F(decider_test, goodVersion_onEndpointsOfSpeedsFiveToOne_isCompleted)
{
    play({ .speeds = 5 }, {}, expectCompleted);
}

TEST_F(decider_test, goodVersion_onFewEndpointsOfSpeedsFiveToOne_isCompleted)
{
    play({ .oldEndpoints = 3, .targetEndpoints = 3, .requestsPerSecond = 40, .speeds = 5 }, {}, expectCompleted);
}

// Guards against good versions that are reverted for endpoints which have just started, or for a machine that stood still.
TEST_F(decider_test, goodVersion_thatIsSlowAtFirst_isCompleted)
{
    play({}, { .slowness = 4, .until = 1200ms }, expectCompleted);
}

TEST_F(decider_test, goodVersion_onEndpointsThatAreColdForLong_isCompleted)
{
    play({ .coldTime = 4s }, {}, expectCompleted);
}

TEST_F(decider_test, goodVersion_withFewRequests_isCompleted)
{
    play({ .oldEndpoints = 2, .targetEndpoints = 2, .requestsPerSecond = 3 }, {}, expectCompleted);
}

TEST_F(decider_test, goodVersion_withoutRequests_isCompleted)
{
    play({ .requestsPerSecond = 0 }, {}, expectCompleted);
}

// Guards against bad versions that reach callers beyond the bounds.
TEST_F(decider_test, failingVersion_isRevertedWithinBounds)
{
    play({}, { .failureShare = 0.3 }, expectReverted);
}

TEST_F(decider_test, versionThatFailsLater_isRevertedWithinBounds)
{
    play({}, { .failureShare = 0.4, .from = 4500ms }, expectReverted);
}

TEST_F(decider_test, versionThatFailsOnOneRoute_isRevertedWithinBounds)
{
    play({ .routes = 12 }, { .failureShare = 0.8, .route = 7 }, expectReverted);
}

TEST_F(decider_test, versionThatFailsUnderLoad_isRevertedWithinBounds)
{
    play({ .requestsPerSecond = 600 }, { .failureShare = 0.6, .minRunning = 4 }, expectReverted);
}

TEST_F(decider_test, slowVersion_onEqualEndpoints_isRevertedWithinBounds)
{
    play({}, { .slowness = 3 }, expectReverted);
}

TEST_F(decider_test, slowVersion_onEndpointsOfSpeedsFiveToOne_isRevertedWithinBounds)
{
    play({ .oldEndpoints = 24, .targetEndpoints = 24, .requestsPerSecond = 800, .speeds = 5 }, { .slowness = 6 }, expectReverted);
}

TEST_F(decider_test, versionThatTurnsSlowLater_isRevertedWithinBounds)
{
    play({}, { .slowness = 5, .from = 4s }, expectReverted);
}

TEST_F(decider_test, versionThatIsSlowOnOneRoute_isRevertedWithinBounds)
{
    play({ .routes = 6 }, { .slowness = 5, .route = 3 }, expectReverted);
}

TEST_F(decider_test, failingVersion_atFewRequests_isRevertedWithinBounds)
{
    play({ .oldEndpoints = 3, .targetEndpoints = 3, .requestsPerSecond = 30, .routes = 2 }, { .failureShare = 0.9 }, expectReverted);
}

// Guards against exposure that each new owner grants again.
TEST_F(decider_test, newOwners_continueFromTheRecord_withinTheBound)
{
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        auto service = make({}, { .failureShare = 0.5, .from = 5s }, seed);
        for (int i = 0; i < 5; ++i) {
            service.run(900ms);
            service.restartOwner();
        }
        service.run(8s);
        expectReverted(service);
    }
}

TEST_F(decider_test, ownerLostInEachStage_completesAGoodVersionInTime)
{
    for (const auto lostAt : { 200ms, 2000ms, 5900ms, 7000ms, 8500ms, 9000ms }) {
        SCOPED_TRACE(lostAt.count());
        auto service = make({}, {});
        service.run(lostAt);
        service.restartOwner();
        service.run(13s - lostAt);
        expectCompleted(service);
    }
}

// Guards against use of the target that no record allows.
TEST_F(decider_test, storeAwayFromTheStart_keepsRequestsFromTheTarget)
{
    auto service = make({}, {});
    service.isStoreAway = true;
    service.run(5s);
    EXPECT_EQ(service.targetRequests, 0U);
    service.isStoreAway = false;
    service.run(8s);
    expectCompleted(service);
}

TEST_F(decider_test, storeAwayInEachStage_keepsBothBounds)
{
    for (const auto awayAt : { 1s, 3s, 6s, 8s }) {
        SCOPED_TRACE(awayAt.count());
        auto service = make({}, { .failureShare = 0.5, .from = 4s });
        service.run(awayAt);
        service.isStoreAway = true;
        service.run(3s);
        service.isStoreAway = false;
        service.run(10s - awayAt);
        expectReverted(service);
    }
}

TEST_F(decider_test, targetNeverListed_isRevertedByTheDeadline)
{
    auto service = make({}, {});
    service.targetListed = 0;
    service.run(13s);
    expectReverted(service);
    EXPECT_EQ(service.targetRequests, 0U);
}

TEST_F(decider_test, targetThatNeverAnswers_isReverted)
{
    auto service = make({}, {});
    service.isTargetUp = false;
    service.run(13s);
    expectReverted(service);
}

TEST_F(decider_test, targetThatCrashesForAWhile_isCompleted)
{
    auto service = make({}, {});
    service.run(2s);
    service.isTargetUp = false;
    service.run(1500ms);
    service.isTargetUp = true;
    service.run(10s);
    expectCompleted(service);
}

TEST_F(decider_test, targetAlreadyInForce_isCompletedAtOnce)
{
    auto service = make({}, {});
    service.oldListed = 0;
    service.run(1500ms);
    expectCompleted(service);
}

TEST_F(decider_test, oldEndpointsThatVanishMidway_completeTheOrder)
{
    auto service = make({}, {});
    service.run(3s);
    service.oldListed = 0;
    service.run(1500ms);
    expectCompleted(service);
}

TEST_F(decider_test, withdrawnOrder_isReverted)
{
    auto service = make({}, {});
    service.run(3s);
    service.owner->withdraw(service.now);
    service.run(200ms);
    expectReverted(service);
}

TEST_F(decider_test, faultyOrder_isRevertedWithItsFault)
{
    auto service = make({}, {});
    service.given.fault = "duration_s: negative; remedy: set it above 0";
    service.restartOwner();
    service.run(200ms);
    expectReverted(service);
    EXPECT_EQ(service.written->reason, service.given.fault);
}

// Guards against an owner that undoes the decision of the one before.
TEST_F(decider_test, decidedOrder_staysDecidedForNewOwners)
{
    auto service = make({}, { .failureShare = 0.9 });
    service.run(6s);
    ASSERT_TRUE(service.isFinal());
    service.restartOwner();
    service.run(6s);
    expectReverted(service);
}

} // namespace
} // namespace carawaylink::rollout
