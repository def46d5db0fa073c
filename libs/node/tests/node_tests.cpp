#include "node_fixture.h"

#include <future>

namespace carawaylink {
namespace {

using namespace std::chrono_literals;

class node_test : public node_fixture { };

// Guards against responses that are altered or truncated between the engine or service and the caller.
TEST_F(node_test, callers_get_whole_answers_of_every_kind)
{
    const auto address = startNode("d1").httpAddress();
    awaitServing();
    const auto streamed = call(address, completion("s", 20, true));
    EXPECT_EQ(streamed.status, 200U);
    EXPECT_EQ(streamedText(streamed.body), expectedText("s", 20));
    const auto whole = parse(call(address, completion("w", 20, false)).body);
    EXPECT_EQ(whole.at("choices").at(0).at("text").as_string(), expectedText("w", 20));
    EXPECT_EQ(whole.at("usage").at("completion_tokens").to_number<int>(), 20);

    http_request chat { "POST", "/v1/chat/completions", key(),
        R"({"model":"large","messages":[{"role":"user","content":"hi"}],"max_tokens":5,"user":"c","stream":true})" };
    EXPECT_EQ(streamedText(call(address, chat).body, true), expectedText("c", 5));
    chat.body = R"({"model":"large","messages":[{"role":"user","content":"hi"}],"max_tokens":5,"user":"c"})";
    EXPECT_EQ(parse(call(address, chat).body).at("choices").at(0).at("message").at("content").as_string(), expectedText("c", 5));

    EXPECT_EQ(call(address, { "GET", "/services/desk/seats/4", key(), {} }).body, R"({"service":"desk","path":"/seats/4"})");
    EXPECT_NE(call(address, { "GET", "/v1/models", key(), {} }).body.find("\"large\""), std::string::npos);
    EXPECT_EQ(call(address, { "GET", "/readyz", {}, {} }).status, 200U);
}

// Guards against missing or repeated tokens when connections to the engine break repeatedly.
TEST_F(node_test, streams_survive_broken_engine_connections)
{
    const auto address = startNode("d1").httpAddress();
    awaitServing();
    call(engineAddress, { "POST", "/faults", {}, R"({"cut_streams_after_tokens":7})" });
    EXPECT_EQ(streamedText(call(address, completion("s", 40, true)).body), expectedText("s", 40));
    EXPECT_EQ(parse(call(address, completion("w", 40, false)).body).at("choices").at(0).at("text").as_string(), expectedText("w", 40));
    EXPECT_EQ(historyCount("\"received\"", ""), historyCount("\"finished\"", ""));
}

// Guards against a retry that the scheduler ignores, so that the request is in no queue and waits until its deadline.
TEST_F(node_test, requests_that_an_endpoint_did_not_answer_are_repeated_at_once)
{
    const auto address = startNode("d1").httpAddress();
    auto second = std::make_unique<engine_server>(engine_server_options {}, std::make_shared<history_writer>(""));
    const auto secondAddress = second->listen("127.0.0.1:0");
    call(vmsAddress,
        { "POST", "/vms", {},
            R"({"vms":[{"address":")" + secondAddress + R"(","role":"endpoint","service":"llm","state":"live","failure_domain":"d1"}]})" });
    awaitServing();
    waitUntil([&] {
        const auto page = call(address, { "GET", "/admin/status", { { "Authorization", "Bearer operator-key" } }, {} });
        return page.body.find(secondAddress) != std::string::npos;
    });
    second.reset();
    for (int i = 0; i < 8; ++i)
        EXPECT_EQ(call(address, completion("c" + std::to_string(i), 3, false)).status, 200U);
    call(serviceAddress, { "POST", "/faults", {}, R"({"lose_answer_share":1})" });
    auto headers = key();
    headers.push_back({ "X-Carawaylink-Idempotent", "true" });
    const auto lost = call(address, { "POST", "/services/desk/x", headers, "{}" });
    EXPECT_EQ(lost.status, 502U) << lost.body;
}

// Guards against executing a call twice when its caller retries with the same ticket at another node.
TEST_F(node_test, retry_with_ticket_at_another_node_runs_once)
{
    startNode("d1");
    startNode("d2");
    awaitServing();
    const auto before = historyCount("\"received\"", "");
    const auto ticketText = issueTicket(*nodes[0]);
    const auto request = completion("r", 30, true, { { "X-Carawaylink-Ticket", ticketText }, { "X-Carawaylink-Idempotent", "false" } });
    auto first = std::async(std::launch::async, [&] { return call(nodes[0]->httpAddress(), request); });
    auto second = std::async(std::launch::async, [&] { return call(nodes[1]->httpAddress(), request); });
    EXPECT_EQ(streamedText(first.get().body), expectedText("r", 30));
    EXPECT_EQ(streamedText(second.get().body), expectedText("r", 30));
    EXPECT_EQ(historyCount("\"received\"", ""), before + 1);

    // A retry of a plain call gets the first response.
    auto headers = key();
    headers.push_back({ "X-Carawaylink-Ticket", issueTicket(*nodes[0]) });
    const http_request order { "POST", "/services/desk/orders", headers, R"({"call":"c1"})" };
    const auto answer = call(nodes[0]->httpAddress(), order);
    EXPECT_EQ(answer.status, 200U) << answer.body;
    EXPECT_EQ(call(nodes[1]->httpAddress(), order).body, answer.body);
}

// Guards against reporting "not run" for an executed call, and against a second execution, after the home has died.
TEST_F(node_test, ticket_of_a_dead_home_is_decided_by_its_witness)
{
    startNode("d1");
    startNode("d2");
    awaitServing();
    const auto unused = issueTicket(*nodes[0]);
    const auto used = issueTicket(*nodes[0]);
    const auto withTicket = [](const std::string& text) { return completion("r", 10, true, { { "X-Carawaylink-Ticket", text } }); };
    EXPECT_EQ(streamedText(call(nodes[0]->httpAddress(), withTicket(used)).body), expectedText("r", 10));
    const auto runs = historyCount("\"received\"", "");
    nodes[0].reset();
    const auto& survivor = nodes[1]->httpAddress();
    const auto repeated = call(survivor, withTicket(used));
    EXPECT_EQ(streamedText(repeated.body), expectedText("r", 10)) << repeated.body;
    const auto refused = call(survivor, withTicket(unused));
    EXPECT_EQ(refused.status, 409U);
    EXPECT_NE(refused.body.find("\"ran\":\"no\""), std::string::npos) << refused.body;
    EXPECT_EQ(historyCount("\"received\"", ""), runs);
    nodes.erase(nodes.begin());
}

// Guards against a graceful stop that breaks running streams or refuses callers whose entry answer is still valid.
TEST_F(node_test, draining_finishes_streams_and_refuses_only_after_the_entry_lifetime)
{
    startNode("d1");
    startNode("d2");
    awaitServing();
    auto& leaving = *nodes[0];
    const auto address = leaving.httpAddress();
    auto running = std::async(std::launch::async, [&] { return call(address, completion("long", 600, true)); });
    waitUntil([&] { return historyCount("\"started\"", "") > historyCount("\"finished\"", ""); });
    leaving.drain();
    waitUntil([&] { return call(address, { "GET", "/readyz", {}, {} }).status == 503; });
    EXPECT_EQ(call(address, completion("late", 1, false)).status, 200U);
    waitUntil([&] {
        const auto entry = call(nodes[1]->httpAddress(), { "GET", "/v1/entry", key(), {} }).body;
        return entry.find(address) == std::string::npos && entry.find("addresses") != std::string::npos;
    });
    http_response refused;
    waitUntil([&] {
        refused = call(address, completion("refused", 1, false));
        return refused.status != 200;
    });
    EXPECT_EQ(refused.status, 503U);
    EXPECT_NE(refused.body.find("\"draining\""), std::string::npos) << refused.body;
    EXPECT_NE(refused.body.find(nodes[1]->httpAddress()), std::string::npos) << refused.body;
    EXPECT_EQ(streamedText(running.get().body), expectedText("long", 600));
    EXPECT_TRUE(leaving.waitUntilStopped());
}

// Guards against a caller that does not read and thereby delays others or exhausts the node's memory.
TEST_F(node_test, slow_caller_holds_back_only_itself)
{
    const auto address = startNode("d1").httpAddress();
    awaitServing();
    // With 2 KB per token the output far exceeds what the node and the sockets buffer for a caller that does not read.
    const std::string user(2000, 's');
    const auto finished = historyCount("\"finished\"", "");
    raw_client slow(address, raw_client::text(completion(user, 3000, true)));
    slow.readSome();
    int calls = 0;
    // Longer than the idle timeout of an engine's connection: the paused stream must not be treated as a broken one.
    const auto end = std::chrono::steady_clock::now() + 1500ms;
    while (std::chrono::steady_clock::now() < end || historyCount("\"finished\"", "") <= finished + static_cast<std::size_t>(calls)) {
        EXPECT_EQ(streamedText(call(address, completion("fast", 20, true)).body), expectedText("fast", 20));
        ++calls;
        ASSERT_LT(std::chrono::steady_clock::now(), end + 10s);
    }
    EXPECT_EQ(streamedText(slow.readAll()), expectedText(user, 3000));
}

// Guards against an engine that continues to generate after the caller has disconnected.
TEST_F(node_test, caller_that_leaves_cancels_its_stream)
{
    const auto address = startNode("d1").httpAddress();
    awaitServing();
    raw_client caller(address, raw_client::text(completion("left", 100000, true)));
    caller.readSome();
    EXPECT_NE(caller.received.find("200 OK"), std::string::npos);
    caller.close();
    waitUntil([&] { return historyCount("\"cancelled\"", "") == 1; });
    EXPECT_EQ(call(address, completion("next", 1, false)).status, 200U);
}

} // namespace
} // namespace carawaylink
