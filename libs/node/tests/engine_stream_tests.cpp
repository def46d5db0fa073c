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

/// One answer of the engine.
struct answer {
    std::string text;
    enum class ending { finish, cut, hold } end = ending::finish;
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
            held.clear();
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
        if (next.end == answer::ending::finish) {
            responder->finish();
        } else {
            held.push_back(responder);
            if (next.end == answer::ending::cut)
                responder->onDrained([weak = std::weak_ptr(responder)] {
                    if (const auto cut = weak.lock())
                        cut->abort();
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

    stream_result run(std::deque<answer> script)
    {
        answers = std::move(script);
        const auto stream = open(address);
        stream->dispatch("/v1/completions", "{}");
        runUntil(context, [this] { return result.has_value(); });
        return result.value_or(stream_result {});
    }

    std::vector<std::string> seen()
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
    std::deque<answer> answers;
    bool repeatLast = false;
    std::vector<std::string> calls;
    std::vector<responder_pointer> held;
    http_server server;
    std::string address;
    boost::asio::io_context context { 1 };
    http_client client { context };
    std::vector<int> offsets;
    int doneEvents = 0;
    std::optional<stream_result> result;
};

const std::string resumePath = "GET /v1/streams/0000000000000001-0000000000000002?from=";

// Guards against tokens that are lost or repeated where a connection breaks, also in the middle of an event.
TEST_F(engine_stream_test, broken_connection_is_resumed_at_first_missing_token)
{
    const auto ended = run({ { tokenEvents(0, 4), answer::ending::cut }, { tokenEvents(4, 8) + "id: 8\nda", answer::ending::cut },
        { tokenEvents(8, 10) + streamEnd() } });
    EXPECT_EQ(ended.outcome, stream_outcome::complete) << ended.detail;
    EXPECT_EQ(ended.outputTokens, tokens(10));
    EXPECT_EQ(ended.promptTokens, tokens(7));
    EXPECT_EQ(ended.cachedTokens, tokens(3));
    expectTokens(10);
    EXPECT_EQ(seen(), (std::vector<std::string> { "POST /v1/completions", resumePath + "4", resumePath + "8" }));
}

// Guards against a caller that waits for ever on a connection that went silent without an end.
TEST_F(engine_stream_test, silent_connection_is_resumed_at_first_missing_token)
{
    const auto ended = run({ { tokenEvents(0, 3), answer::ending::hold }, { tokenEvents(3, 5) + streamEnd() } });
    EXPECT_EQ(ended.outcome, stream_outcome::complete) << ended.detail;
    expectTokens(5);
}

// Guards against an answer with missing tokens being passed on as whole when the end follows the gap in the same bytes.
TEST_F(engine_stream_test, gap_in_offsets_is_asked_for_again)
{
    const auto ended = run({ { tokenEvents(0, 2) + tokenEvents(3, 5) + streamEnd() }, { tokenEvents(2, 5) + streamEnd() } });
    EXPECT_EQ(ended.outcome, stream_outcome::complete) << ended.detail;
    expectTokens(5);
    EXPECT_EQ(doneEvents, 1);
    EXPECT_EQ(seen().back(), resumePath + "2");
}

// Guards against an answer without its last tokens being passed on as whole: no later offset shows that gap.
TEST_F(engine_stream_test, end_before_the_counted_tokens_is_asked_for_again)
{
    const std::string end = "data: {\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":4}}\n\ndata: [DONE]\n\n";
    const auto ended = run({ { tokenEvents(0, 2) + end }, { tokenEvents(2, 4) + end } });
    EXPECT_EQ(ended.outcome, stream_outcome::complete) << ended.detail;
    expectTokens(4);
    EXPECT_EQ(doneEvents, 1);
}

// Guards against endless requests to an engine that has lost a token for good.
TEST_F(engine_stream_test, gap_that_stays_ends_as_lost)
{
    repeatLast = true;
    const auto ended = run({ { tokenEvents(0, 2) + tokenEvents(3, 5) + streamEnd() } });
    EXPECT_EQ(ended.outcome, stream_outcome::lost);
    expectTokens(2);
    EXPECT_EQ(doneEvents, 0);
}

// Guards against tokens that the caller gets twice from an engine that resumes too early.
TEST_F(engine_stream_test, repeated_tokens_are_dropped)
{
    const auto ended = run({ { tokenEvents(0, 3), answer::ending::cut }, { tokenEvents(0, 5) + tokenEvents(2, 6) + streamEnd() } });
    EXPECT_EQ(ended.outcome, stream_outcome::complete) << ended.detail;
    expectTokens(6);
}

// Guards against a partial answer being taken for a complete one.
TEST_F(engine_stream_test, end_without_done_is_lost)
{
    EXPECT_EQ(run({ { tokenEvents(0, 3) } }).outcome, stream_outcome::lost);
    expectTokens(3);
}

// Guards against "not run" for a request that may have run, and "unknown" for one that certainly did not.
TEST_F(engine_stream_test, refused_and_unreachable_differ_from_unknown)
{
    auto ended = run({ { "leaving", answer::ending::finish, 503, { { "X-Engine-Leaving", "1" } } } });
    EXPECT_EQ(ended.outcome, stream_outcome::rejected);
    EXPECT_TRUE(ended.endpointLeaving);
    EXPECT_EQ(ended.body, "leaving");

    for (const auto& [status, outcome] : { std::pair(400U, stream_outcome::rejected), std::pair(500U, stream_outcome::lost) }) {
        result.reset();
        EXPECT_EQ(run({ { "", answer::ending::finish, status } }).outcome, outcome) << status;
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

// Guards against a second dispatch of a request whose connection broke before the engine's first byte.
TEST_F(engine_stream_test, break_before_first_byte_is_never_dispatched_again)
{
    const auto ended = run({ { "", answer::ending::cut } });
    EXPECT_EQ(ended.outcome, stream_outcome::lost);
    const auto all = seen();
    EXPECT_EQ(std::ranges::count(all, "POST /v1/completions"), 1);
    EXPECT_GT(std::ranges::count(all, resumePath + "0"), 0);
}

// Guards against an engine that goes on generating for nobody.
TEST_F(engine_stream_test, cancel_reaches_the_engine)
{
    answers = { { tokenEvents(0, 3), answer::ending::hold } };
    const auto stream = open(address);
    stream->dispatch("/v1/completions", "{}");
    runUntil(context, [this] { return offsets.size() == 3; });
    stream->cancel();
    EXPECT_EQ(result.value_or(stream_result {}).outcome, stream_outcome::cancelled);
    runUntil(context, [this] { return seen().back().starts_with("DELETE /v1/streams/"); });
}

// Guards against an error event behind the end of a whole answer: the engine's connection is still open when the end arrives, and a
// higher tier takes the slot in that moment.
TEST_F(engine_stream_test, cancel_after_the_end_of_the_answer_is_complete)
{
    answers = { { tokenEvents(0, 3) + streamEnd(), answer::ending::hold } };
    const auto stream = open(address);
    stream->dispatch("/v1/completions", "{}");
    runUntil(context, [this] { return doneEvents == 1; });
    stream->cancel();
    EXPECT_EQ(result.value_or(stream_result {}).outcome, stream_outcome::complete);
    EXPECT_EQ(result.value_or(stream_result {}).outputTokens, tokens(3));
    expectTokens(3);
}

// Guards against bytes of a faulty engine that follow the end of its answer and reach the caller as a part of it.
TEST_F(engine_stream_test, events_after_the_end_of_the_answer_are_dropped)
{
    const auto ended = run({ { tokenEvents(0, 3) + streamEnd() + tokenEvents(3, 5) + streamEnd(), answer::ending::finish } });
    EXPECT_EQ(ended.outcome, stream_outcome::complete);
    EXPECT_EQ(doneEvents, 1);
    expectTokens(3);
}

} // namespace
} // namespace carawaylink
