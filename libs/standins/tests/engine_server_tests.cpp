#include "loopback.h"
#include "standins/engine_server.h"
#include "standins/log_server.h"

#include <gmock/gmock.h>

namespace carawaylink {
namespace {

using namespace std::chrono_literals;
using testing::HasSubstr;

engine_server_options engineWithPace(duration tokenTime)
{
    engine_server_options options;
    options.engine.tokenTime = tokenTime;
    options.engine.tokenTimePerSequence = 0ms;
    options.engine.modelLoadTime = 1ms;
    return options;
}

http_request completion(const std::string& id, int maxTokens, bool stream)
{
    return { "POST", "/v1/completions", { { "X-Request-Id", id } },
        R"({"model":"m","prompt":"some words","user":"u-)" + id + R"(","max_tokens":)" + std::to_string(maxTokens) + R"(,"stream":)"
            + (stream ? "true}" : "false}") };
}

http_request resume(const std::string& id, int from)
{
    return { "GET", "/v1/streams/" + id + "?from=" + std::to_string(from) };
}

/// The token numbers in the texts of a stream, checked against its event ids and its user.
std::vector<int> tokensOf(const std::string& events, const std::string& user)
{
    std::vector<int> tokens;
    std::istringstream lines(events);
    std::string line;
    std::string id;
    while (std::getline(lines, line)) {
        if (line.starts_with("id: "))
            id = line.substr(4);
        if (line.starts_with("data: ") && line.find("\"text\"") != std::string::npos) {
            EXPECT_THAT(line, HasSubstr("\"text\":\"" + user + ":" + id + " \""));
            tokens.push_back(std::stoi(id));
        }
    }
    return tokens;
}

std::vector<int> numbers(int first, int end)
{
    std::vector<int> result;
    for (int i = first; i < end; ++i)
        result.push_back(i);
    return result;
}

class engine_loopback : public testing::Test {
protected:
    history_file history { "engine_loopback" };
    loopback_client client;
};

// Guards against a stream that is not whole, in order and ended as the protocol says.
TEST_F(engine_loopback, streamed_completion_has_every_token_usage_and_done)
{
    engine_server server(engineWithPace(100us), history.writer());
    const auto address = server.listen("127.0.0.1:0");
    const auto answer = client.stream(address, completion("a", 300, true));
    EXPECT_TRUE(answer.result.ok()) << answer.result.detail;
    EXPECT_EQ(tokensOf(answer.text, "u-a"), numbers(0, 300));
    EXPECT_THAT(answer.text, HasSubstr(R"("usage":{"prompt_tokens":2,"completion_tokens":300,)"));
    EXPECT_TRUE(answer.text.ends_with("\n\ndata: [DONE]\n\n"));
    for (const auto* event : { "received", "started", "first_token", "finished" })
        EXPECT_EQ(count(history.text(), R"("event":")" + std::string(event) + R"(","request":"a")"), 1U) << event;
}

// Guards against whole responses without the text or usage, and against chat bodies that are read wrongly.
TEST_F(engine_loopback, whole_completion_and_chat_completion_carry_text_and_usage)
{
    engine_server server(engineWithPace(10us), history.writer());
    const auto address = server.listen("127.0.0.1:0");
    const auto whole = client.send(address, completion("a", 3, false));
    EXPECT_THAT(whole.response.body, HasSubstr(R"("text":"u-a:0 u-a:1 u-a:2 ")"));
    const auto chat = client.send(address,
        { "POST", "/v1/chat/completions", { { "X-Request-Id", "b" } },
            R"({"messages":[{"role":"system","content":"one two"},{"role":"user","content":[{"type":"text","text":"three"}]}],"max_tokens":2})" });
    EXPECT_THAT(chat.response.body, HasSubstr(R"("content":"b:0 b:1 ")"));
    EXPECT_THAT(chat.response.body, HasSubstr(R"("prompt_tokens":3)"));
}

// Guards against tokens lost or repeated when a cut stream is resumed by offset.
TEST_F(engine_loopback, cut_stream_resumes_with_each_token_exactly_once)
{
    engine_server server(engineWithPace(100us), history.writer());
    const auto address = server.listen("127.0.0.1:0");
    setFaults(address, R"({"cut_streams_after_tokens":7})");
    auto answer = client.stream(address, completion("a", 40, true));
    auto tokens = tokensOf(answer.text, "u-a");
    EXPECT_EQ(answer.result.failure, http_failure::broken);
    EXPECT_EQ(count(answer.text, "[DONE]"), 0U);
    for (int calls = 0; calls < 10 && !answer.result.ok(); ++calls) {
        answer = client.stream(address, resume("a", static_cast<int>(tokens.size())));
        const auto more = tokensOf(answer.text, "u-a");
        EXPECT_LE(more.size(), 7U);
        tokens.insert(tokens.end(), more.begin(), more.end());
    }
    EXPECT_TRUE(answer.result.ok());
    EXPECT_EQ(tokens, numbers(0, 40));
    EXPECT_EQ(client.send(address, resume("unknown", 0)).response.status, 404U);
    EXPECT_EQ(count(history.text(), R"("event":"received")"), 1U);
}

// Guards against a cancelled stream that ends as if it were complete.
TEST_F(engine_loopback, cancelled_stream_is_broken_off)
{
    engine_server server(engineWithPace(1ms), history.writer());
    const auto address = server.listen("127.0.0.1:0");
    bool cancelled = false;
    const auto answer = client.stream(address, completion("a", 100000, true), 5s, [&](const std::string&) {
        if (std::exchange(cancelled, true))
            return;
        EXPECT_EQ(blocking_http_client().send(address, { "DELETE", "/v1/streams/a" }, 5s).body, R"({"cancelled":true})");
    });
    EXPECT_EQ(answer.result.failure, http_failure::broken);
    EXPECT_EQ(count(answer.text, "[DONE]"), 0U);
    EXPECT_EQ(count(history.text(), R"("event":"cancelled")"), 1U);
    EXPECT_EQ(client.send(address, resume("a", 0)).response.status, 404U);
}

// Guards against silent connections that recover, or that take new connections with them.
TEST_F(engine_loopback, established_connections_go_silent_and_new_ones_work)
{
    engine_server server(engineWithPace(1ms), history.writer());
    const auto address = server.listen("127.0.0.1:0");
    loopback_client idleConnection;
    EXPECT_TRUE(idleConnection.send(address, { "GET", "/load" }).ok());
    bool silenced = false;
    const auto answer = client.stream(address, completion("a", 500, true), 300ms, [&](const std::string&) {
        if (!std::exchange(silenced, true))
            setFaults(address, R"({"silent_connections":true})");
    });
    EXPECT_EQ(answer.result.failure, http_failure::idle);
    EXPECT_EQ(idleConnection.send(address, { "GET", "/load" }, 300ms).failure, http_failure::idle);
    const auto tokens = tokensOf(answer.text, "u-a");
    const auto rest = client.stream(address, resume("a", static_cast<int>(tokens.size())));
    EXPECT_TRUE(rest.result.ok()) << rest.result.detail;
    EXPECT_EQ(tokensOf(rest.text, "u-a"), numbers(static_cast<int>(tokens.size()), 500));
}

// Guards against a paused engine that answers, or that loses what it received while paused.
TEST_F(engine_loopback, paused_engine_answers_after_the_pause)
{
    engine_server server(engineWithPace(10us), history.writer());
    const auto address = server.listen("127.0.0.1:0");
    setFaults(address, R"({"pause":true})");
    EXPECT_EQ(client.send(address, completion("a", 3, false), 200ms).failure, http_failure::idle);
    setFaults(address, R"({"pause":false})");
    EXPECT_TRUE(client.stream(address, resume("a", 0)).result.ok());
}

// Guards against refusals without the header that tells a leaving engine from a failing one.
TEST_F(engine_loopback, refusals_say_whether_the_engine_is_leaving)
{
    engine_server server(engineWithPace(10us), history.writer());
    const auto address = server.listen("127.0.0.1:0");
    setFaults(address, R"({"refuse_new":true})");
    auto refused = client.send(address, completion("a", 3, false)).response;
    EXPECT_EQ(refused.status, 503U);
    EXPECT_FALSE(refused.header("X-Engine-Leaving").has_value());
    client.send(address, { "POST", "/leave" });
    refused = client.send(address, completion("b", 3, false)).response;
    EXPECT_EQ(refused.status, 503U);
    EXPECT_EQ(refused.header("X-Engine-Leaving"), "1");
    EXPECT_THAT(client.send(address, { "GET", "/load" }).response.body, HasSubstr(R"("leaving":true)"));
    setFaults(address, R"({"leaving":false,"refuse_new":false,"fail_share":1})");
    EXPECT_EQ(count(history.text(), R"("event":"leaving")"), 1U);
    EXPECT_EQ(count(history.text(), R"("event":"live")"), 1U);
    EXPECT_EQ(client.send(address, completion("c", 3, false)).response.status, 500U);
}

// Guards against wrong calls that are taken for work.
TEST_F(engine_loopback, malformed_calls_are_answered_with_400)
{
    engine_server server(engineWithPace(10us), history.writer());
    const auto address = server.listen("127.0.0.1:0");
    for (const auto* body : { "", "[]", R"({"prompt":1})", R"({"prompt":"x","max_tokens":0})", R"({"prompt":"x","stream":1})" })
        EXPECT_EQ(client.send(address, { "POST", "/v1/completions", {}, body }).response.status, 400U) << body;
    EXPECT_EQ(client.send(address, { "POST", "/v1/chat/completions", {}, R"({"messages":[{}]})" }).response.status, 400U);
    EXPECT_EQ(client.send(address, { "POST", "/orders", {}, R"({"kind":"x","name":"y","fence":1,"order":"o"})" }).response.status, 400U);
    EXPECT_EQ(client.send(address, { "POST", "/kv/import", {}, R"({"hashes":["zz"]})" }).response.status, 400U);
    EXPECT_EQ(client.send(address, { "GET", "/cache/events?from=x" }).response.status, 400U);
    EXPECT_EQ(client.send(address, { "GET", "/nothing" }).response.status, 404U);
    EXPECT_EQ(history.text(), "");
}

// Guards against orders that skip the weight store's limit or the fencing check.
TEST_F(engine_loopback, model_load_asks_the_weight_store)
{
    log_options limits;
    limits.weightLoads = 1;
    limits.weightLoadTime = 50ms;
    log_server store(limits, history.writer());
    auto options = engineWithPace(10us);
    options.weightStore = store.listen("127.0.0.1:0");
    engine_server server(options, history.writer());
    const auto address = server.listen("127.0.0.1:0");
    const auto order = [&](const std::string& fence) {
        return http_request { "POST", "/orders", {}, R"({"kind":"load_model","name":"big","order":"o","fence":)" + fence + "}" };
    };
    const auto loaded = client.send(address, order("5"));
    EXPECT_EQ(loaded.response.status, 200U);
    EXPECT_THAT(loaded.response.body, HasSubstr(R"("model":"big")"));
    EXPECT_EQ(client.send(address, order("4")).response.status, 409U);
    EXPECT_EQ(count(history.text(), R"("event":"order","order":"o","kind":"load_model","name":"big","fence":5)"), 1U);
    EXPECT_EQ(
        count(history.text(), R"("event":"order_refused","order":"o","kind":"load_model","name":"big","fence":4,"reason":"stale_fence")"),
        1U);
    limits.weightLoads = 0;
    log_server busyStore(limits, history.writer());
    options.weightStore = busyStore.listen("127.0.0.1:0");
    engine_server refused(options, history.writer());
    const auto refusal = client.send(refused.listen("127.0.0.1:0"), order("1")).response;
    EXPECT_EQ(refusal.status, 503U);
    EXPECT_EQ(refusal.header("Retry-After"), "1");
    options.weightStore = "127.0.0.1:1";
    engine_server unreachable(options, history.writer());
    EXPECT_EQ(client.send(unreachable.listen("127.0.0.1:0"), order("1")).response.status, 502U);
}

// Guards against cache events, exports and imports that do not agree on the blocks.
TEST_F(engine_loopback, cache_events_and_block_transfer_name_the_same_blocks)
{
    engine_server server(engineWithPace(10us), history.writer());
    const auto address = server.listen("127.0.0.1:0");
    std::string prompt;
    for (int i = 0; i < 64; ++i)
        prompt += "w" + std::to_string(i) + " ";
    client.send(address, { "POST", "/v1/completions", {}, R"({"prompt":")" + prompt + R"(","max_tokens":1})" });
    const auto events = client.send(address, { "GET", "/cache/events?from=0&wait_ms=1000" }).response.body;
    EXPECT_THAT(events, HasSubstr(R"({"next":1,"events":[{"seq":0,"hash":")"));
    EXPECT_EQ(client.send(address, { "GET", "/cache/events?from=9&wait_ms=5000" }, 1s).response.body, R"({"next":1,"events":[]})");
    const auto hash = events.substr(events.find("hash") + 7, 16);
    const auto body = R"({"hashes":[")" + hash + R"("]})";
    EXPECT_EQ(client.send(address, { "POST", "/kv/export", {}, body }).response.body, body);
    engine_server other(engineWithPace(10us), history.writer());
    const auto otherAddress = other.listen("127.0.0.1:0");
    EXPECT_EQ(client.send(otherAddress, { "POST", "/kv/export", {}, body }).response.body, R"({"hashes":[]})");
    EXPECT_EQ(client.send(otherAddress, { "POST", "/kv/import", {}, body }).response.body, body);
}

} // namespace
} // namespace carawaylink
