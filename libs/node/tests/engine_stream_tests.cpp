#include "engine_stream.h"
#include "event_loop.h"
#include "http/server.h"

#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <future>
#include <mutex>

namespace carawaylink {
namespace {

using namespace std::chrono_literals;
using responder_pointer = std::shared_ptr<http_responder>;

std::string tokenEvents(int from, int to)
{
    std::string text;
    for (int i = from; i < to; ++i)
        text += "id: " + std::to_string(i) + "\ndata: {\"choices\":[{\"text\":\"t" + std::to_string(i) + "\"}]}\n\n";
    return text;
}

std::string streamEnd()
{
    return "data: {\"usage\":{\"prompt_tokens\":7,\"prompt_tokens_details\":{\"cached_tokens\":3}}}\n\ndata: [DONE]\n\n";
}

/// One scripted response of the engine.
struct engine_answer {
    std::string text;
    enum class ending { finish, disconnect, keepOpen } end = ending::finish;
    unsigned status = 200;
    std::vector<http_header> headers;
};

class engine_stream_test : public testing::Test {
protected:
    engine_stream_test()
        : server(threads, {}, [this](const http_request& request, const responder_pointer& responder) { serve(request, responder); })
        , address(server.listen("127.0.0.1:0"))
    {
    }
    ~engine_stream_test() override
    {
        server.stopAccepting();
        std::promise<void> released;
        threads.post(0, [&] {
            openResponders.clear();
            released.set_value();
        });
        released.get_future().wait();
        threads.stop();
    }

    void serve(const http_request& request, const responder_pointer& responder)
    {
        std::unique_lock lock(mutex);
        calls.push_back(request.method + " " + request.target);
        if (answers.empty() || request.method == "DELETE") {
            responder->send({ 404, {}, "unknown" });
            return;
        }
        const auto next = answers.front();
        if (!repeatLast || answers.size() > 1)
            answers.pop_front();
        lock.unlock();
        if (next.status != 200) {
            responder->send({ next.status, next.headers, next.text });
            return;
        }
        responder->start(200, next.headers);
        responder->write(next.text);
        if (next.end == engine_answer::ending::finish) {
            responder->finish();
        } else {
            openResponders.push_back(responder);
            if (next.end == engine_answer::ending::disconnect)
                responder->onDrained([weak = std::weak_ptr(responder)] {
                    if (const auto disconnect = weak.lock())
                        disconnect->abort();
                });
        }
    }

    std::shared_ptr<engine_stream> open(const std::string& endpoint)
    {
        engine_stream_handlers handlers;
        handlers.onEvent = [this](std::string_view event) {
            if (event.starts_with("id: "))
                offsets.push_back(std::stoi(std::string(event.substr(4))));
            doneEvents += event.find("[DONE]") != std::string_view::npos ? 1 : 0;
        };
        handlers.onDone = [this](const stream_result& ended) { result = ended; };
        return std::make_shared<engine_stream>(context, client, endpoint_id(endpoint), request_id { 1, 2 }, 200ms, std::move(handlers));
    }

    stream_result run(std::deque<engine_answer> script)
    {
        answers = std::move(script);
        const auto stream = open(address);
        stream->dispatch("/v1/completions", "{}");
        runUntil(context, [this] { return result.has_value(); });
        return result.value_or(stream_result {});
    }

    std::vector<std::string> recordedCalls()
    {
        const std::lock_guard lock(mutex);
        return calls;
    }

    void expectTokens(int count)
    {
        std::vector<int> expected(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            expected[static_cast<std::size_t>(i)] = i;
        EXPECT_EQ(offsets, expected);
    }

    io_threads threads { 1 };
    std::mutex mutex;
    std::deque<engine_answer> answers;
    bool repeatLast = false;
    std::vector<std::string> calls;
    std::vector<responder_pointer> openResponders;
    http_server server;
    std::string address;
    boost::asio::io_context context { 1 };
    http_client client { context };
    std::vector<int> offsets;
    int doneEvents = 0;
    std::optional<stream_result> result;
};

const std::string resumePath = "GET /v1/streams/0000000000000001-0000000000000002?from=";

// Guards against lost or repeated tokens when a connection breaks, including in the middle of an event.
TEST_F(engine_stream_test, broken_connection_is_resumed_at_first_missing_token)
{
    const auto ended = run({ { tokenEvents(0, 4), engine_answer::ending::disconnect },
        { tokenEvents(4, 8) + "id: 8\nda", engine_answer::ending::disconnect }, { tokenEvents(8, 10) + streamEnd() } });
    EXPECT_EQ(ended.outcome, stream_outcome::complete) << ended.detail;
    EXPECT_EQ(ended.outputTokens, tokens(10));
    EXPECT_EQ(ended.promptTokens, tokens(7));
    EXPECT_EQ(ended.cachedTokens, tokens(3));
    expectTokens(10);
    EXPECT_EQ(recordedCalls(), (std::vector<std::string> { "POST /v1/completions", resumePath + "4", resumePath + "8" }));
}

// Guards against a caller that waits forever on a connection that stays open without sending data.
TEST_F(engine_stream_test, silent_connection_is_resumed_at_first_missing_token)
{
    const auto ended = run({ { tokenEvents(0, 3), engine_answer::ending::keepOpen }, { tokenEvents(3, 5) + streamEnd() } });
    EXPECT_EQ(ended.outcome, stream_outcome::complete) << ended.detail;
    expectTokens(5);
}

// Guards against relaying an output with missing tokens as complete when the gap and the end arrive in the same read.
TEST_F(engine_stream_test, gap_in_offsets_is_asked_for_again)
{
    const auto ended = run({ { tokenEvents(0, 2) + tokenEvents(3, 5) + streamEnd() }, { tokenEvents(2, 5) + streamEnd() } });
    EXPECT_EQ(ended.outcome, stream_outcome::complete) << ended.detail;
    expectTokens(5);
    EXPECT_EQ(doneEvents, 1);
    EXPECT_EQ(recordedCalls().back(), resumePath + "2");
}

// Guards against relaying an output without its last tokens as complete: no later offset reveals that gap.
TEST_F(engine_stream_test, end_before_the_counted_tokens_is_asked_for_again)
{
    const std::string end = "data: {\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":4}}\n\ndata: [DONE]\n\n";
    const auto ended = run({ { tokenEvents(0, 2) + end }, { tokenEvents(2, 4) + end } });
    EXPECT_EQ(ended.outcome, stream_outcome::complete) << ended.detail;
    expectTokens(4);
    EXPECT_EQ(doneEvents, 1);
}

// Guards against endless resumes at an engine that has lost a token permanently.
TEST_F(engine_stream_test, gap_that_stays_ends_as_lost)
{
    repeatLast = true;
    const auto ended = run({ { tokenEvents(0, 2) + tokenEvents(3, 5) + streamEnd() } });
    EXPECT_EQ(ended.outcome, stream_outcome::lost);
    expectTokens(2);
    EXPECT_EQ(doneEvents, 0);
}

// Guards against repeated tokens when an engine resumes at an earlier offset than requested.
TEST_F(engine_stream_test, repeated_tokens_are_dropped)
{
    const auto ended
        = run({ { tokenEvents(0, 3), engine_answer::ending::disconnect }, { tokenEvents(0, 5) + tokenEvents(2, 6) + streamEnd() } });
    EXPECT_EQ(ended.outcome, stream_outcome::complete) << ended.detail;
    expectTokens(6);
}

// Guards against treating a partial output as complete.
TEST_F(engine_stream_test, end_without_done_is_lost)
{
    EXPECT_EQ(run({ { tokenEvents(0, 3) } }).outcome, stream_outcome::lost);
    expectTokens(3);
}

// Guards against reporting "not run" for a request that may have been executed, and "unknown" for one that certainly was not.
TEST_F(engine_stream_test, refused_and_unreachable_differ_from_unknown)
{
    auto ended = run({ { "leaving", engine_answer::ending::finish, 503, { { "X-Engine-Leaving", "1" } } } });
    EXPECT_EQ(ended.outcome, stream_outcome::rejected);
    EXPECT_TRUE(ended.endpointLeaving);
    EXPECT_EQ(ended.body, "leaving");

    for (const auto& [status, outcome] : { std::pair(400U, stream_outcome::rejected), std::pair(500U, stream_outcome::lost) }) {
        result.reset();
        EXPECT_EQ(run({ { "", engine_answer::ending::finish, status } }).outcome, outcome) << status;
    }

    result.reset();
    boost::asio::ip::tcp::acceptor unused(context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    const auto closed = "127.0.0.1:" + std::to_string(unused.local_endpoint().port());
    unused.close();
    const auto stream = open(closed);
    stream->dispatch("/v1/completions", "{}");
    runUntil(context, [this] { return result.has_value(); });
    EXPECT_EQ(result.value_or(stream_result {}).outcome, stream_outcome::unreachable);
}

// Guards against dispatching a request again after its connection broke before the first byte of the response.
TEST_F(engine_stream_test, break_before_first_byte_is_never_dispatched_again)
{
    const auto ended = run({ { "", engine_answer::ending::disconnect } });
    EXPECT_EQ(ended.outcome, stream_outcome::lost);
    const auto all = recordedCalls();
    EXPECT_EQ(std::ranges::count(all, "POST /v1/completions"), 1);
    EXPECT_GT(std::ranges::count(all, resumePath + "0"), 0);
}

// Guards against an engine that continues to generate a cancelled request.
TEST_F(engine_stream_test, cancel_reaches_the_engine)
{
    answers = { { tokenEvents(0, 3), engine_answer::ending::keepOpen } };
    const auto stream = open(address);
    stream->dispatch("/v1/completions", "{}");
    runUntil(context, [this] { return offsets.size() == 3; });
    stream->cancel();
    EXPECT_EQ(result.value_or(stream_result {}).outcome, stream_outcome::cancelled);
    runUntil(context, [this] { return recordedCalls().back().starts_with("DELETE /v1/streams/"); });
}

// Guards against an error event after the end of a complete output. It occurs if a more urgent tier preempts the request after [DONE] has
// arrived but before the engine's connection closes.
TEST_F(engine_stream_test, cancel_after_the_end_of_the_answer_is_complete)
{
    answers = { { tokenEvents(0, 3) + streamEnd(), engine_answer::ending::keepOpen } };
    const auto stream = open(address);
    stream->dispatch("/v1/completions", "{}");
    runUntil(context, [this] { return doneEvents == 1; });
    stream->cancel();
    EXPECT_EQ(result.value_or(stream_result {}).outcome, stream_outcome::complete);
    EXPECT_EQ(result.value_or(stream_result {}).outputTokens, tokens(3));
    expectTokens(3);
}

// Guards against a stream that its owner releases while it ends itself: it used its memory after that, which address sanitizer reports.
TEST_F(engine_stream_test, cancel_whose_end_releases_the_stream_ends_once)
{
    answers = { { tokenEvents(0, 3) + streamEnd(), engine_answer::ending::keepOpen } };
    std::shared_ptr<engine_stream> owner;
    int ends = 0;
    engine_stream_handlers handlers;
    handlers.onEvent = [this](std::string_view event) { doneEvents += event.find("[DONE]") != std::string_view::npos ? 1 : 0; };
    handlers.onDone = [&](const stream_result&) {
        ++ends;
        owner.reset();
    };
    owner = std::make_shared<engine_stream>(context, client, endpoint_id(address), request_id { 1, 2 }, 200ms, std::move(handlers));
    owner->dispatch("/v1/completions", "{}");
    runUntil(context, [this] { return doneEvents == 1; });
    owner->cancel();
    EXPECT_EQ(ends, 1);
    EXPECT_EQ(owner, nullptr);
}

// Guards against relaying data that a faulty engine sends after [DONE].
TEST_F(engine_stream_test, events_after_the_end_of_the_answer_are_dropped)
{
    const auto ended = run({ { tokenEvents(0, 3) + streamEnd() + tokenEvents(3, 5) + streamEnd(), engine_answer::ending::finish } });
    EXPECT_EQ(ended.outcome, stream_outcome::complete);
    EXPECT_EQ(doneEvents, 1);
    expectTokens(3);
}

} // namespace
} // namespace carawaylink
