#include "slot_test_fleet.h"

#include <random>

namespace carawaylink::placement {
namespace {

constexpr std::size_t nodes = 4;
constexpr std::size_t stepsPerSeed = 60;
// Address sanitizer with its check of returned stack frames takes about 1.2 s a seed.
#ifdef __SANITIZE_ADDRESS__
constexpr unsigned seeds = 40;
#else
constexpr unsigned seeds = 200;
#endif

/// Draws orders of submissions, withdrawals, outcomes, lost messages and connections, pauses, and changes of owners and pools. Knows of
/// each request whether it waits, as an exchange does.
class decision_order_fleet {
public:
    explicit decision_order_fleet(unsigned seed)
        : m_random(seed)
        , m_fleet(nodes, engineRecords(onePool, 1))
    {
        m_fleet.onDecisions = [this](const pool_decisions& decisions) { check(decisions); };
        m_fleet.beforeDecisions = [this](std::size_t) {
            if (draw(4) == 0)
                changeRequest();
        };
        m_fleet.run(150ms);
    }

    void play()
    {
        for (std::size_t step = 0; step < stepsPerSeed; ++step) {
            draw(3) == 0 ? changeFleet() : changeRequest();
            m_fleet.run(std::chrono::milliseconds(draw(12)));
        }
        comeToRest();
    }

    std::size_t orders() const { return m_orders; }
    std::size_t decisions() const { return m_decisions; }
    /// Decisions that reached a request which waited for none.
    std::size_t unexpected() const { return m_unexpected; }
    /// Slots that an owner took back from a node, though no message of the node can have said so.
    std::size_t reclaimed() const { return m_fleet.reclaimed.size(); }
    /// Slots that were held beyond those of running requests while each node ran one.
    std::size_t surplusWhileBusy() const { return m_surplusWhileBusy; }

    std::size_t heldSlots()
    {
        std::size_t held = 0;
        for (std::size_t node = 0; node < nodes; ++node) {
            held += m_fleet.client(node).local().totalLoad().running;
            for (const auto& [id, owner] : m_fleet.owned(node).pools())
                held += owner->load().running;
        }
        return held;
    }

private:
    struct request_state {
        bool waits = false;
        std::optional<replica_id> runsAt;
    };

    static constexpr std::size_t onePool = 3;
    static constexpr std::size_t twoPools = 80;

    std::size_t draw(std::size_t count) { return m_random() % count; }

    std::optional<std::uint64_t> drawRequest(bool (*matches)(const request_state&))
    {
        std::vector<std::uint64_t> found;
        for (const auto& [id, state] : m_requests) {
            if (matches(state))
                found.push_back(id);
        }
        return found.empty() ? std::nullopt : std::optional(found[draw(found.size())]);
    }

    void changeRequest()
    {
        ++m_orders;
        switch (draw(5)) {
        case 0:
        case 1:
            m_requests[m_fleet.submit(draw(nodes))].waits = true;
            break;
        case 2:
            if (const auto id = drawRequest([](const request_state& state) { return state.waits; }))
                withdraw(*id);
            break;
        case 3:
            if (const auto id = drawRequest([](const request_state& state) { return state.runsAt.has_value(); }))
                endAttempt(*id);
            break;
        case 4:
            if (const auto id = drawRequest([](const request_state& state) { return state.runsAt && !state.waits; }))
                resubmit(*id);
            break;
        }
    }

    void withdraw(std::uint64_t id)
    {
        m_fleet.withdraw(id);
        m_requests.at(id).waits = false;
    }

    // A request that waits for a replacement no longer needs it.
    void endAttempt(std::uint64_t id)
    {
        auto& state = m_requests.at(id);
        if (state.waits)
            withdraw(id);
        const auto previous = *std::exchange(state.runsAt, std::nullopt);
        const bool isSentAgain = draw(2) == 0;
        m_fleet.end(id, isSentAgain ? outcome::replaced : outcome::completed);
        if (isSentAgain) {
            m_fleet.resubmit(id, previous);
            state.waits = true;
        }
    }

    // Asks for a replacement of an unresponsive endpoint.
    void resubmit(std::uint64_t id)
    {
        auto& state = m_requests.at(id);
        m_fleet.resubmit(id, *state.runsAt);
        state.waits = true;
    }

    void changeFleet()
    {
        ++m_orders;
        const auto node = draw(nodes);
        switch (draw(9)) {
        case 0:
            m_fleet.freeze(node);
            break;
        case 1:
            m_fleet.cut(node);
            break;
        case 2:
        case 3:
            m_fleet.thaw(node);
            m_fleet.heal(node);
            break;
        case 4:
            m_fleet.setLiveWithout(node);
            break;
        case 5:
            m_fleet.setLive({});
            break;
        case 6:
            m_fleet.setRecords(engineRecords(draw(2) == 0 ? onePool : twoPools, 1));
            break;
        case 7:
            m_fleet.resetConnections(node);
            break;
        case 8:
            m_fleet.loseMessages();
            break;
        }
    }

    void check(const pool_decisions& decisions)
    {
        for (const auto& granted : decisions.grants) {
            auto& state = m_requests.at(granted.id);
            const bool isKnown = state.waits || state.runsAt;
            countDecision(state);
            // Nobody ends the attempt of a request that has left.
            if (isKnown)
                state.runsAt = granted.replica;
        }
        for (const auto& refused : decisions.refusals) {
            // A refusal of a replacement leaves the request where it runs.
            countDecision(m_requests.at(refused.id));
        }
    }

    void countDecision(request_state& state)
    {
        ++m_decisions;
        if (!std::exchange(state.waits, false))
            ++m_unexpected;
    }

    void comeToRest()
    {
        m_fleet.beforeDecisions = [](std::size_t) {};
        for (std::size_t node = 0; node < nodes; ++node) {
            m_fleet.thaw(node);
            m_fleet.heal(node);
        }
        m_fleet.setLive({});
        m_fleet.run(200ms);
        for (auto& [id, state] : m_requests) {
            if (state.waits)
                withdraw(id);
        }
        countSurplusWhileBusy();
        for (auto& [id, state] : m_requests) {
            if (std::exchange(state.runsAt, std::nullopt))
                m_fleet.end(id, outcome::completed);
        }
        for (const auto end = m_fleet.now + 2s; m_fleet.now < end && heldSlots() > 0;)
            m_fleet.run(50ms);
    }

    // The calls of a busy node keep its session alive, so that no slot comes back because the node is silent.
    void countSurplusWhileBusy()
    {
        m_fleet.setRecords(engineRecords(twoPools, 2));
        for (std::size_t node = 0; node < nodes; ++node)
            m_requests[m_fleet.submit(node)].waits = true;
        m_fleet.run(1s);
        const auto running
            = std::ranges::count_if(m_requests, [](const auto& entry) { return entry.second.runsAt && !entry.second.waits; });
        // Each is counted by its node and by the owner of its pool.
        const auto expected = 2 * static_cast<std::size_t>(running);
        m_surplusWhileBusy = heldSlots() > expected ? heldSlots() - expected : 0;
    }

    std::minstd_rand m_random;
    slot_test_fleet m_fleet;
    std::map<std::uint64_t, request_state> m_requests;
    std::size_t m_orders = 0;
    std::size_t m_decisions = 0;
    std::size_t m_unexpected = 0;
    std::size_t m_surplusWhileBusy = 0;
};

/// Plays all seeds once; each test looks at one property of the results.
class decision_order_test : public testing::Test {
protected:
    struct played_seed {
        unsigned seed = 0;
        std::size_t orders = 0;
        std::size_t decisions = 0;
        std::size_t unexpected = 0;
        std::size_t heldSlots = 0;
        std::size_t reclaimed = 0;
        std::size_t surplusWhileBusy = 0;
    };

    static void SetUpTestSuite()
    {
        if (!played.empty())
            return;
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            decision_order_fleet fleet(seed);
            fleet.play();
            played.push_back({ seed, fleet.orders(), fleet.decisions(), fleet.unexpected(), fleet.heldSlots(), fleet.reclaimed(),
                fleet.surplusWhileBusy() });
        }
    }

    static inline std::vector<played_seed> played;
};

TEST_F(decision_order_test, decision_reachesOnlyARequestThatWaitsForIt)
{
    // A grant or refusal that was overtaken by a withdrawal, another pool or another owner sent a request twice, or refused one that ran.
    std::size_t orders = 0;
    for (const auto& result : played) {
        EXPECT_EQ(result.unexpected, 0U) << "seed " << result.seed << ", of " << result.decisions;
        orders += result.orders;
    }
    EXPECT_GE(orders, 10'000U);
}

TEST_F(decision_order_test, slots_atRest_areHeldByNobody)
{
    // A grant for a request that had left in the same moment held its slot for ever, and its endpoint counted as stalled.
    for (const auto& result : played)
        EXPECT_EQ(result.heldSlots, 0U) << "seed " << result.seed;
}

TEST_F(decision_order_test, slots_whileNodesAreBusy_areHeldByRunningRequestsOnly)
{
    // A lost slot came back only once its node sent no calls for a while, which a busy node never does.
    for (const auto& result : played)
        EXPECT_EQ(result.surplusWhileBusy, 0U) << "seed " << result.seed;
}

TEST_F(decision_order_test, slots_thatAreHeld_areNotTakenBack)
{
    // An owner that mistook a message on its way for a lost slot made the node list everything again, and all its requests lost their
    // place.
    for (const auto& result : played)
        EXPECT_EQ(result.reclaimed, 0U) << "seed " << result.seed;
}

} // namespace
} // namespace carawaylink::placement
