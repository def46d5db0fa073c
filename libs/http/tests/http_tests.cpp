#include "base/error.h"
#include "http/client.h"
#include "http/server.h"

#include <atomic>
#include <boost/asio.hpp>
#include <future>
#include <gtest/gtest.h>
#include <thread>

namespace carawaylink {
namespace {

using tcp_socket = boost::asio::ip::tcp::socket;

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
        result.bodyTimeout = std::chrono::milliseconds(200);
        return result;
    }

    void handle(const http_request& request, const std::shared_ptr<http_responder>& responder)
    {
        ++handledRequests;
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
        } else if (request.path() == "/large") {
            responder->send({ 200, {}, std::string(largeBytes, 'x') });
        } else if (request.path() == "/hold") {
            responder->onClosed([this] { clientDisconnected.set_value(); });
            heldResponder = responder;
        }
    }

    bool eventuallyHasUnwritten(std::size_t responses) const
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (server.unwrittenResponses() != responses && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        return server.unwrittenResponses() == responses;
    }

    http_result call(http_request request)
    {
        std::promise<http_result> promise;
        threads.post(
            1, [&] { client.send(address, std::move(request), {}, [&](http_result result) { promise.set_value(std::move(result)); }); });
        return promise.get_future().get();
    }

    tcp_socket connect()
    {
        const auto parsed = parseAddress(address);
        tcp_socket socket(rawContext);
        socket.connect({ boost::asio::ip::make_address(parsed.ip), parsed.port });
        socket.set_option(boost::asio::ip::tcp::no_delay(true));
        return socket;
    }

    static std::string readAll(tcp_socket& socket)
    {
        std::string response;
        boost::system::error_code ignored;
        boost::asio::read(socket, boost::asio::dynamic_buffer(response), ignored);
        return response;
    }

    // Sends the pieces one after another, so that they arrive apart, and returns the response.
    std::string sendPieces(const std::vector<std::string>& pieces)
    {
        auto socket = connect();
        for (const auto& piece : pieces) {
            boost::system::error_code ignored;
            boost::asio::write(socket, boost::asio::buffer(piece), ignored);
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return readAll(socket);
    }

    // Sends the same bytes again and again until a response arrives, which it returns; empty if 64 MiB were sent without one.
    std::string sendEndless(const std::string& start, const std::string& repeated)
    {
        constexpr std::size_t maxBytes = 64U << 20;
        auto socket = connect();
        std::string piece;
        while (piece.size() < 1000)
            piece += repeated;
        boost::system::error_code status;
        boost::asio::write(socket, boost::asio::buffer(start), status);
        for (std::size_t sent = 0; sent < maxBytes && !status && socket.available(status) == 0; sent += piece.size())
            boost::asio::write(socket, boost::asio::buffer(piece), status);
        std::string response(4096, '\0');
        response.resize(socket.read_some(boost::asio::buffer(response), status));
        return response;
    }

    std::string sendRaw(const std::string& bytes)
    {
        auto socket = connect();
        boost::asio::write(socket, boost::asio::buffer(bytes));
        return readAll(socket);
    }

    /// Of a response that exceeds the kernel's buffers.
    static constexpr std::size_t largeBytes = 16U << 20;

    io_threads threads { 2 };
    http_server server;
    std::string address;
    http_client client;
    boost::asio::io_context rawContext;
    std::shared_ptr<http_responder> heldResponder;
    std::atomic<int> handledRequests = 0;
    std::promise<void> clientDisconnected;
};

// Guards against mixed-up responses of successive requests on a keep-alive connection.
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
TEST_F(http_loopback, streamed_response_arrives_complete_and_in_order)
{
    std::string expected;
    for (int i = 0; i < 100; ++i)
        expected += "part" + std::to_string(i) + ";";
    const auto result = call({ "GET", "/stream", {}, {} });
    ASSERT_TRUE(result.ok()) << result.detail;
    EXPECT_EQ(result.response.body, expected);
}

// Guards against an incomplete response being reported as complete.
TEST_F(http_loopback, aborted_response_is_reported_as_broken)
{
    const auto result = call({ "GET", "/broken", {}, {} });
    EXPECT_EQ(result.failure, http_failure::broken);
    EXPECT_TRUE(result.sent);
}

// Guards against a request being reported as not sent although it may have arrived, and the reverse.
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

// Guards against work continuing for a client that has disconnected.
TEST_F(http_loopback, client_disconnect_calls_on_closed)
{
    std::shared_ptr<http_call> running;
    threads.post(1, [&] { running = client.send(address, { "GET", "/hold", {}, {} }, {}, [](const http_result&) {}); });
    auto left = clientDisconnected.get_future();
    EXPECT_EQ(left.wait_for(std::chrono::milliseconds(50)), std::future_status::timeout);
    threads.post(1, [&] { running->cancel(); });
    EXPECT_EQ(left.wait_for(std::chrono::seconds(10)), std::future_status::ready);
    std::promise<void> released;
    threads.post(0, [&] {
        heldResponder.reset();
        released.set_value();
    });
    released.get_future().wait();
}

// Guards against a leaked connection: a handler that is set after the connection closed may hold the responder.
TEST_F(http_loopback, handlers_set_after_close_are_dropped)
{
    std::shared_ptr<http_call> running;
    threads.post(1, [&] { running = client.send(address, { "GET", "/hold", {}, {} }, {}, [](const http_result&) {}); });
    std::promise<void> arrived;
    const auto waitForResponder
        = [&](const auto& self) -> void { threads.post(0, [&, self] { heldResponder ? arrived.set_value() : self(self); }); };
    waitForResponder(waitForResponder);
    arrived.get_future().wait();
    threads.post(1, [&] { running->cancel(); });
    EXPECT_EQ(clientDisconnected.get_future().wait_for(std::chrono::seconds(10)), std::future_status::ready);
    const auto token = std::make_shared<int>();
    std::promise<void> released;
    threads.post(0, [&] {
        heldResponder->onDrained([responder = heldResponder, token] { responder->abort(); });
        heldResponder->onClosed([responder = heldResponder, token] {});
        heldResponder.reset();
        released.set_value();
    });
    released.get_future().wait();
    EXPECT_EQ(token.use_count(), 1);
}

// Guards against requests that occupy memory or a connection without limit.
TEST_F(http_loopback, invalid_requests_get_matching_error_status)
{
    EXPECT_NE(sendRaw("GET /echo HTTP/1.1\r\nX: " + std::string(4000, 'a') + "\r\n\r\n").find("431"), std::string::npos);
    EXPECT_NE(sendRaw("POST /echo HTTP/1.1\r\nContent-Length: 5000\r\n\r\n").find("413"), std::string::npos);
    EXPECT_NE(sendRaw("nonsense\r\n\r\n").find("400"), std::string::npos);
    EXPECT_NE(sendRaw("GET /echo HTTP/1.1\r\nX-Slow").find("408"), std::string::npos);
}

// Guards against a process that any caller can end: the last chunk of a body in three pieces did.
TEST_F(http_loopback, chunked_request_in_small_pieces_is_handled)
{
    const std::string head = "POST /echo HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
    EXPECT_TRUE(sendPieces({ head, "0\r\n", "\r", "\n" }).starts_with("HTTP/1.1 200"));
    const auto response = sendPieces({ head, "5", ";a=b\r", "\nhel", "lo\r\n0\r\nX: ", "y\r\n\r", "\n" });
    EXPECT_TRUE(response.ends_with("\r\n\r\nhello")) << response;
}

// Guards against memory that fills up with a part of a request that has no end.
TEST_F(http_loopback, endless_part_of_a_request_is_refused_at_its_limit)
{
    const std::string chunked = "POST /echo HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    struct endless_part {
        std::string start;
        std::string repeated;
        std::string status;
    };
    const std::vector<endless_part> parts {
        { "GET /", "x", "431" },
        { "GET /echo HTTP/1.1\r\n", "X: y\r\n", "431" },
        { chunked, "0", "400" },
        { chunked + "5;", "x", "400" },
        { chunked, "5\r\nhello\r\n", "413" },
        { chunked + "0\r\n", "X: y\r\n", "400" },
        { chunked + "0\r\nX: ", "x", "400" },
    };
    for (const auto& part : parts)
        EXPECT_TRUE(sendEndless(part.start, part.repeated).starts_with("HTTP/1.1 " + part.status)) << part.start << part.repeated;
    EXPECT_EQ(handledRequests, 0);
}

// Guards against a 408, which says that the request was not executed, for one that was passed on.
TEST_F(http_loopback, request_without_its_whole_body_is_answered_408_and_not_handled)
{
    const auto response = sendRaw("POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf");
    EXPECT_NE(response.find("408"), std::string::npos);
    EXPECT_EQ(handledRequests, 0);
}

/// A server whose connections may hold little memory together; each of its responses is large.
class http_memory_test : public testing::Test {
protected:
    static constexpr std::size_t maxBytes = 1U << 20;

    http_memory_test()
    {
        http_server_limits limits;
        limits.maxBodyBytes = 8 * maxBytes;
        m_server.emplace(
            m_threads, limits,
            [](const http_request&, const std::shared_ptr<http_responder>& responder) {
                responder->send({ 200, {}, std::string(16 * maxBytes, 'x') });
            },
            &m_memory);
        m_endpoint = { boost::asio::ip::make_address("127.0.0.1"), parseAddress(m_server->listen("127.0.0.1:0")).port };
    }
    ~http_memory_test() override
    {
        m_server->stopAccepting();
        m_threads.stop();
    }

    tcp_socket send(const std::string& bytes)
    {
        tcp_socket socket(m_context);
        socket.connect(m_endpoint);
        boost::system::error_code ignored; // the server may close the connection first
        boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
        return socket;
    }

    std::size_t usedBytes()
    {
        std::promise<std::size_t> used;
        m_threads.post(0, [&] { used.set_value(m_memory.usedBytes()); });
        return used.get_future().get();
    }

    bool eventuallyUses(std::size_t bytes)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (std::chrono::steady_clock::now() < end) {
            if (usedBytes() == bytes)
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return false;
    }

    boost::asio::io_context m_context;
    io_threads m_threads { 1 };
    memory_budget m_memory { maxBytes, [this](std::function<void()> work) { m_threads.post(0, std::move(work)); } };
    std::optional<http_server> m_server;
    boost::asio::ip::tcp::endpoint m_endpoint;
};

// Guards against callers that fill the memory of the process with bodies that never end.
TEST_F(http_memory_test, body_that_exceeds_the_memory_is_refused_as_not_run)
{
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8000000\r\n\r\n";
    auto small = send(head + std::string(maxBytes / 2, 'x'));
    ASSERT_TRUE(eventuallyUses(maxBytes / 2));
    auto large = send(head + std::string(maxBytes, 'x'));
    std::string response(4096, '\0');
    boost::system::error_code status;
    response.resize(large.read_some(boost::asio::buffer(response), status));
    EXPECT_TRUE(response.starts_with("HTTP/1.1 503")) << response;
    EXPECT_NE(response.find("\"ran\":\"no\""), std::string::npos) << response;
    EXPECT_TRUE(eventuallyUses(maxBytes / 2));
}

// Guards against responses that stay in memory because their callers do not read them.
TEST_F(http_memory_test, response_that_is_not_read_and_exceeds_the_memory_is_cut)
{
    auto slow = send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    boost::system::error_code status;
    std::string response;
    boost::asio::read(slow, boost::asio::dynamic_buffer(response), status);
    EXPECT_LT(response.size(), 16 * maxBytes);
    EXPECT_TRUE(eventuallyUses(0));
}

// A process that did not count such a response ended before its last byte was written.
TEST_F(http_loopback, response_that_is_not_read_counts_as_unwritten_until_its_last_byte_is_written)
{
    auto reader = connect();
    auto leaver = connect();
    for (auto* socket : { &reader, &leaver })
        boost::asio::write(*socket, boost::asio::buffer(std::string("GET /large HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")));
    EXPECT_TRUE(eventuallyHasUnwritten(2));
    leaver.close();
    EXPECT_TRUE(eventuallyHasUnwritten(1));
    EXPECT_GT(readAll(reader).size(), largeBytes);
    EXPECT_TRUE(eventuallyHasUnwritten(0));
}

// Guards against an address with a host name or no port being accepted.
TEST_F(http_loopback, malformed_address_throws_invalid_argument)
{
    for (const auto* text : { "", "127.0.0.1", "localhost:80", "127.0.0.1:99999", "127.0.0.1:x" })
        EXPECT_THROW(parseAddress(text), error) << text;
}

} // namespace
} // namespace carawaylink
