#include "base/memory_budget.h"

#include <deque>
#include <gtest/gtest.h>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace carawaylink {
namespace {

class memory_budget_test : public testing::Test {
protected:
    using holder = std::optional<memory_budget::holding>;

    void runDeferred()
    {
        while (!m_deferred.empty()) {
            const auto work = std::move(m_deferred.front());
            m_deferred.pop_front();
            work();
        }
    }

    void hold(holder& place, const std::string& name, std::size_t bytes)
    {
        place.emplace(&m_budget, "test", [this, &place, name] {
            m_ended.push_back(name);
            place.reset();
        });
        place->set(bytes);
    }

    std::deque<std::function<void()>> m_deferred;
    std::vector<std::string> m_ended;
    memory_budget m_budget { 100, [this](std::function<void()> work) { m_deferred.push_back(std::move(work)); } };
};

// Guards against small messages that end because of a large one, and against a holder that is ended inside its own call.
TEST_F(memory_budget_test, excess_endsTheLargestHoldersAndNoOthers)
{
    holder small, large, larger;
    hold(small, "small", 30);
    hold(large, "large", 60);
    hold(larger, "larger", 80);
    EXPECT_TRUE(m_ended.empty());
    runDeferred();
    EXPECT_EQ(m_ended, std::vector<std::string>({ "larger" }));
    EXPECT_EQ(m_budget.usedBytes(), 90U);
    small->set(45);
    runDeferred();
    EXPECT_EQ(m_ended, std::vector<std::string>({ "larger", "large" }));
    EXPECT_EQ(m_budget.usedBytes(), 45U);
}

// Guards against bytes that stay counted, so that the budget is used up for good.
TEST_F(memory_budget_test, destroyedHolder_holdsNothing)
{
    holder first;
    hold(first, "first", 90);
    first->set(95);
    first->set(40);
    first.reset();
    EXPECT_EQ(m_budget.usedBytes(), 0U);
    hold(first, "first", 100);
    runDeferred();
    EXPECT_TRUE(m_ended.empty());
}

// Guards against an excess that has passed by the time it is handled and still ends a holder.
TEST_F(memory_budget_test, excessThatHasPassed_endsNobody)
{
    holder first;
    hold(first, "first", 200);
    first->set(10);
    runDeferred();
    EXPECT_TRUE(m_ended.empty());
}

// Guards against an endless loop where a holder cannot free its bytes at once.
TEST_F(memory_budget_test, holderThatKeepsItsBytes_isEndedOnce)
{
    int ends = 0;
    memory_budget::holding stubborn(&m_budget, "test", [&] { ++ends; });
    stubborn.set(200);
    runDeferred();
    EXPECT_EQ(ends, 1);
}

// Guards against a message without a budget, as in tools, that fails.
TEST_F(memory_budget_test, holderWithoutABudget_countsNothing)
{
    memory_budget::holding free(nullptr, "test", [] {});
    free.set(1000);
    EXPECT_EQ(free.bytes(), 0U);
}

} // namespace
} // namespace carawaylink
