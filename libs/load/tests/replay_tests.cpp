#include "load/replay.h"

#include "fake_node.h"

#include <algorithm>
#include <cstdio>
#include <gtest/gtest.h>

namespace carawaylink::load {
namespace {

using std::chrono::milliseconds;

trace_call modelCall(int at, bool idempotent = true)
{
    return { milliseconds(at), team_id("choir-1"), tier(0), service_id("rota-llm"), tokens(200), tokens(10), "p1", idempotent,
        milliseconds(3000) };
}

trace_call plainCall(int at, bool idempotent)
{
    return { milliseconds(at), team_id("choir-1"), tier(0), service_id("rota-app"), tokens(0), tokens(0), "", idempotent,
        milliseconds(3000) };
}

class replays : public testing::Test {
protected:
    void TearDown() override { std::remove(m_path.c_str()); }

    std::vector<history_record> play(const std::vector<trace_call>& calls, const std::string& entry)
    {
        replay_settings settings;
        settings.entry = { entry };
        settings.plainServices = { "rota-app" };
        settings.patience = milliseconds(500);
        settings.drainLimit = milliseconds(6000);
        {
            history_writer writer(m_path);
            m_totals = replayTrace(settings, calls, writer);
        }
        m_history = history::read({ m_path });
        return m_history.records();
    }

    static std::vector<std::string> events(const std::vector<history_record>& records, const std::string& call)
    {
        std::vector<std::string> result;
        for (const auto& record : records) {
            if (record.call == call)
                result.push_back(record.event);
        }
        return result;
    }

    static const history_record& last(const std::vector<history_record>& records, const std::string& call)
    {
        return *std::find_if(records.rbegin(), records.rend(), [&](const history_record& record) { return record.call == call; });
    }

    std::string m_path = testing::TempDir() + "load-replay-" + testing::UnitTest::GetInstance()->current_test_info()->name() + ".jsonl";
    replay_totals m_totals;
    history m_history;
};

// Guards against a correct answer being counted as lost, and against request headers that nodes do not understand.
TEST_F(replays, whole_answers_are_recorded_as_whole)
{
    fake_node node;
    const auto records = play({ modelCall(0), modelCall(1, false), plainCall(2, true), plainCall(3, false) }, node.address());
    for (int i = 0; i < 4; ++i) {
        const auto& end = last(records, "run-" + std::to_string(i));
        EXPECT_EQ(end.event, "answered") << i;
        EXPECT_TRUE(end.whole && end.own && end.ordered) << i;
        EXPECT_EQ(end.tokens, end.expectedTokens) << i;
        EXPECT_EQ(end.ticket.empty(), i % 2 == 0) << i;
    }
    const auto requests = node.seen("/v1/completions");
    ASSERT_EQ(requests.size(), 2U);
    EXPECT_EQ(requests[0].header("Authorization"), "Bearer key-choir-1");
    EXPECT_EQ(node.seen("/services/rota-app/order").at(0).body, R"({"call":"run-3"})");
    EXPECT_TRUE(node.seen("/services/rota-app/order").at(0).header("X-Carawaylink-Ticket").has_value());
}

// Guards against a non-repeatable model call without a ticket being run twice after a broken answer.
TEST_F(replays, broken_model_call_without_ticket_is_not_repeated)
{
    fake_node node;
    node.behave(fake_node::behaviour::break_midway, 1);
    const auto records = play({ modelCall(0) }, node.address());
    EXPECT_EQ(events(records, "run-0"), (std::vector<std::string> { "sent", "broken" }));
    EXPECT_EQ(last(records, "run-0").ran, "unknown");
}

// Guards against a retry with a fresh ticket, which could run a non-repeatable call twice.
TEST_F(replays, broken_call_with_ticket_is_repeated_with_that_ticket)
{
    fake_node node;
    node.behave(fake_node::behaviour::break_midway, 1);
    const auto records = play({ modelCall(0, false) }, node.address());
    EXPECT_EQ(events(records, "run-0"), (std::vector<std::string> { "sent", "broken", "sent", "answered" }));
    const auto requests = node.seen("/v1/completions");
    ASSERT_EQ(requests.size(), 2U);
    EXPECT_EQ(requests[0].header("X-Carawaylink-Ticket"), requests[1].header("X-Carawaylink-Ticket"));
}

// Guards against a lookup being repeated without bound.
TEST_F(replays, broken_lookup_is_repeated_once)
{
    fake_node node;
    node.behave(fake_node::behaviour::break_midway, 5);
    const auto records = play({ plainCall(0, true) }, node.address());
    EXPECT_EQ(events(records, "run-0"), (std::vector<std::string> { "sent", "broken", "sent", "broken" }));
}

// Guards against a partial answer that was closed as complete going unnoticed.
TEST_F(replays, answer_without_end_marker_is_not_whole)
{
    fake_node node;
    node.behave(fake_node::behaviour::end_without_done, 1);
    const auto records = play({ modelCall(0) }, node.address());
    EXPECT_EQ(last(records, "run-0").event, "answered");
    EXPECT_FALSE(last(records, "run-0").whole);
    EXPECT_EQ(last(records, "run-0").reason, "ended_without_done");
}

// Guards against a caller that gives up, or runs a call twice, where one address refuses connections.
TEST_F(replays, dead_address_is_skipped)
{
    fake_node node;
    node.setAddresses({ "127.0.0.1:1", node.address() });
    std::vector<trace_call> calls;
    for (int i = 0; i < 6; ++i)
        calls.push_back(modelCall(i * 10, i % 2 == 0));
    const auto records = play(calls, node.address());
    for (int i = 0; i < 6; ++i)
        EXPECT_EQ(last(records, "run-" + std::to_string(i)).event, "answered");
    EXPECT_EQ(node.seen("/v1/completions").size(), 6U);
}

// Guards against retries adding load in an overload, and against calls lost to a planned stop.
TEST_F(replays, only_refusals_of_a_draining_node_are_repeated)
{
    fake_node node;
    node.behave(fake_node::behaviour::refuse_overload, 1);
    EXPECT_EQ(events(play({ modelCall(0) }, node.address()), "run-0"), (std::vector<std::string> { "sent", "refused" }));
    node.behave(fake_node::behaviour::refuse_draining, 1);
    EXPECT_EQ(
        events(play({ modelCall(0) }, node.address()), "run-0"), (std::vector<std::string> { "sent", "refused", "sent", "answered" }));
}

// Guards against a run that hangs where no node answers.
TEST_F(replays, no_entry_ends_the_call_at_its_deadline)
{
    auto call = modelCall(0);
    call.deadline = milliseconds(300);
    const auto records = play({ call }, "127.0.0.1:1");
    EXPECT_EQ(last(records, "run-0").reason, "no_entry");
    EXPECT_EQ(last(records, "run-0").ran, "no");
}

} // namespace
} // namespace carawaylink::load
