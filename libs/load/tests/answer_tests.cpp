#include "load/answer_checker.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <string>
#include <vector>

namespace carawaylink::load {
namespace {

std::string tokenEvent(const std::string& call, int index)
{
    const auto number = std::to_string(index);
    return "id: " + number + "\ndata: {\"choices\":[{\"text\":\"" + call + ":" + number + " \"}]}\n\n";
}

std::string answerOf(const std::vector<int>& indexes, const std::string& call = "c-1")
{
    std::string text;
    for (const auto index : indexes)
        text += tokenEvent(call, index);
    return text + "data: {\"choices\":[],\"usage\":{\"completion_tokens\":1}}\n\ndata: [DONE]\n\n";
}

answer_state stateOf(const std::string& body)
{
    answer_checker checker("c-1", [] {});
    checker.feed(body);
    return checker.state();
}

class answers : public testing::Test { };

// Guards against a verdict that depends on how the network cuts the stream.
RC_GTEST_FIXTURE_PROP(answers, whole_answer_cut_anywhere_is_accepted, ())
{
    const auto body = answerOf({ 0, 1, 2, 3 });
    int seen = 0;
    answer_checker checker("c-1", [&] { ++seen; });
    for (std::size_t at = 0; at < body.size();) {
        const auto length = *rc::gen::inRange<std::size_t>(1, 60);
        checker.feed(std::string_view(body).substr(at, length));
        at += length;
    }
    RC_ASSERT(checker.state().done && checker.state().own && checker.state().ordered);
    RC_ASSERT(checker.state().tokens == 4);
    RC_ASSERT(seen == 4);
}

// Guards against gaps, repetitions and exchanged tokens that a count of tokens would miss.
TEST_F(answers, disordered_tokens_are_noticed)
{
    EXPECT_EQ(stateOf(answerOf({ 0, 2, 3 })).fault, "missing_token");
    EXPECT_EQ(stateOf(answerOf({ 0, 1, 1, 2 })).fault, "repeated_token");
    EXPECT_EQ(stateOf(answerOf({ 0, 2, 1 })).fault, "missing_token");
    EXPECT_EQ(stateOf(answerOf({ 1 })).fault, "missing_token");
    EXPECT_FALSE(stateOf(answerOf({ 0, 1, 1 })).ordered);
    EXPECT_EQ(stateOf("id: 5\ndata: {\"choices\":[{\"text\":\"c-1:0 \"}]}\n\n").fault, "wrong_offset");
    EXPECT_EQ(stateOf(answerOf({ 0 }) + tokenEvent("c-1", 1)).fault, "event_after_done");
    EXPECT_EQ(stateOf("data: {broken\n\n").fault, "malformed_event");
}

// Guards against a caller accepting the answer of another call.
TEST_F(answers, token_of_another_call_is_foreign)
{
    EXPECT_FALSE(stateOf(answerOf({ 0, 1 }, "c-11")).own);
    EXPECT_FALSE(stateOf(answerOf({ 0 }, "run")).own);
    EXPECT_TRUE(bodyNamesCall(R"({"call":"c-1"})", "c-1"));
    EXPECT_FALSE(bodyNamesCall(R"({"call":"c-2"})", "c-1"));
}

// Guards against an error inside a stream being taken for a break or for an answer.
TEST_F(answers, error_event_is_a_refusal)
{
    const auto state = stateOf(tokenEvent("c-1", 0) + "data: {\"error\":{\"type\":\"preempted\",\"ran\":\"unknown\"}}\n\n");
    EXPECT_TRUE(state.failed);
    EXPECT_FALSE(state.done);
    EXPECT_EQ(state.errorType, "preempted");
    EXPECT_EQ(state.errorRan, "unknown");
}

} // namespace
} // namespace carawaylink::load
