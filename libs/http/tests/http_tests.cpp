#include "base/error.h"
#include "http/client.h"
#include "http/server.h"

#include <boost/asio.hpp>
#include <future>
#include <gtest/gtest.h>

namespace carawaylink {
namespace {

class http_loopback : public testing::Test {
protected:
    http_loopback()
        : server(threads, limits(), [this](http_request request, std::shared_ptr<http_responder> responder) { handle(request, responder); })
        , address(server.listen("127.0.0.1:0"))
        , client(threads.context(1))
    {
    }
    ~http_loopback() override
    {
        server.stopAccepting();
        threads.stop();
    }

    static http_server_limits limits()
    {
        http_server_limits result;
        result.maxHeaderBytes = 2048;
        result.maxBodyBytes = 1000;
        result.headerTimeout = std::chrono::milliseconds(200);
        return result;
    }

    void handle(const http_request& request, const std::shared_ptr<http_responder>& responder)
    {
        if (request.path() == "/echo")
            responder->send({ 200, { { "X-Query", request.query("q").value_or("none") } }, request.body });
        else if (request.path() == "/stream" || request.path() == "/broken") {
            responder->start(200, { { "Content-Type", "text/event-stream" } });
            for (int i = 0; i < 100; ++i)
                responder->write("part" + std::to_string(i) + ";");
            if (request.path() == "/stream")
                responder->finish();
            else
                responder->abort();
        } else if (request.path() == "/hold") {
            responder->onClosed([this] { callerLeft.set_value(); });
            held = responder;
        }
    }

    http_result call(http_request request)
    {
        std::promise<http_result> promise;
        threads.post(
            1, [&] { client.send(address, std::move(request), {}, [&](http_result result) { promise.set_value(std::move(result)); }); });
        return promise.get_future().get();
    }

    std::string exchangeRaw(const std::string& bytes)
    {
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket socket(context);
        const auto parsed = parseAddress(address);
        socket.connect({ boost::asio::ip::make_address(parsed.ip), parsed.port });
        boost::asio::write(socket, boost::asio::buffer(bytes));
        std::string response;
        boost::system::error_code status;
        boost::asio::read(socket, boost::asio::dynamic_buffer(response), status);
        return response;
    }

    io_threads threads { 2 };
    http_server server;
    std::string address;
    http_client client;
    std::shared_ptr<http_responder> held;
    std::promise<void> callerLeft;
};

// Guards against a kept-alive connection mixing up the responses of successive requests.
TEST_F(http_loopback, successive_calls_get_their_own_responses)
{
    for (int i = 0; i < 50; ++i) {
        const auto body = "body" + std::to_string(i);
        const auto result = call({ "POST", "/echo?q=a%20b", {}, body });
        ASSERT_TRUE(result.ok()) << result.detail;
        EXPECT_EQ(result.response.body, body);
        EXPECT_EQ(result.response.header("x-query"), "a b");
    }
}

// Guards against parts of a streamed response being lost or reordered.
TEST_F(http_loopback, streamed_response_arrives_whole)
{
    std::string expected;
    for (int i = 0; i < 100; ++i)
        expected += "part" + std::to_string(i) + ";";
    const auto result = call({ "GET", "/stream", {}, {} });
    ASSERT_TRUE(result.ok()) << result.detail;
    EXPECT_EQ(result.response.body, expected);
}

// Guards against a broken response being taken for a whole one.
TEST_F(http_loopback, aborted_response_is_reported_as_broken)
{
    const auto result = call({ "GET", "/broken", {}, {} });
    EXPECT_EQ(result.failure, http_failure::broken);
    EXPECT_TRUE(result.sent);
}

// Guards against "not sent" being claimed for a request that may have arrived, and the reverse.
TEST_F(http_loopback, refused_connection_is_reported_as_not_sent)
{
    server.stopAccepting();
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor unused(context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    address = "127.0.0.1:" + std::to_string(unused.local_endpoint().port());
    unused.close();
    const auto result = call({ "GET", "/echo", {}, {} });
    EXPECT_EQ(result.failure, http_failure::connect);
    EXPECT_FALSE(result.sent);
}

// Guards against work going on for a caller that has left.
TEST_F(http_loopback, caller_that_leaves_is_noticed)
{
    std::shared_ptr<http_call> running;
    threads.post(1, [&] { running = client.send(address, { "GET", "/hold", {}, {} }, {}, [](const http_result&) {}); });
    auto left = callerLeft.get_future();
    EXPECT_EQ(left.wait_for(std::chrono::milliseconds(50)), std::future_status::timeout);
    threads.post(1, [&] { running->cancel(); });
    EXPECT_EQ(left.wait_for(std::chrono::seconds(10)), std::future_status::ready);
    std::promise<void> released;
    threads.post(0, [&] {
        held.reset();
        released.set_value();
    });
    released.get_future().wait();
}

// Guards against a connection that is never freed because a handler that was set after its end holds it.
TEST_F(http_loopback, handlers_set_after_the_end_are_dropped)
{
    std::shared_ptr<http_call> running;
    threads.post(1, [&] { running = client.send(address, { "GET", "/hold", {}, {} }, {}, [](const http_result&) {}); });
    std::promise<void> arrived;
    const auto awaitHeld = [&](const auto& self) -> void { threads.post(0, [&, self] { held ? arrived.set_value() : self(self); }); };
    awaitHeld(awaitHeld);
    arrived.get_future().wait();
    threads.post(1, [&] { running->cancel(); });
    EXPECT_EQ(callerLeft.get_future().wait_for(std::chrono::seconds(10)), std::future_status::ready);
    const auto token = std::make_shared<int>();
    std::promise<void> released;
    threads.post(0, [&] {
        held->onDrained([responder = held, token] { responder->abort(); });
        held->onClosed([responder = held, token] {});
        held.reset();
        released.set_value();
    });
    released.get_future().wait();
    EXPECT_EQ(token.use_count(), 1);
}

// Guards against hostile requests that use memory or a connection without bound.
TEST_F(http_loopback, bad_requests_get_typed_errors)
{
    EXPECT_NE(exchangeRaw("GET /echo HTTP/1.1\r\nX: " + std::string(4000, 'a') + "\r\n\r\n").find("431"), std::string::npos);
    EXPECT_NE(exchangeRaw("POST /echo HTTP/1.1\r\nContent-Length: 5000\r\n\r\n").find("413"), std::string::npos);
    EXPECT_NE(exchangeRaw("nonsense\r\n\r\n").find("400"), std::string::npos);
    EXPECT_NE(exchangeRaw("GET /echo HTTP/1.1\r\nX-Slow").find("408"), std::string::npos);
}

// Guards against an address with a host name or no port being accepted.
TEST_F(http_loopback, malformed_address_throws_invalid_argument)
{
    for (const auto* text : { "", "127.0.0.1", "localhost:80", "127.0.0.1:99999", "127.0.0.1:x" })
        EXPECT_THROW(parseAddress(text), error) << text;
}

} // namespace
} // namespace carawaylink
