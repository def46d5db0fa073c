#include "http/client.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>
#include <thread>

namespace carawaylink {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/// Runs a server that answers one connection with fixed bytes and then closes it or sends nothing more.
class client_test : public testing::Test {
protected:
    http_result call(const std::string& responseBytes, bool closes, std::size_t maxBody = 1000, const std::string& method = "GET")
    {
        tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
        tcp::socket peer(context);
        std::string request;
        acceptor.async_accept(peer, [&](boost::system::error_code) {
            asio::async_read_until(peer, asio::dynamic_buffer(request), "\r\n\r\n", [&](boost::system::error_code, std::size_t) {
                asio::async_write(peer, asio::buffer(responseBytes), [&](boost::system::error_code, std::size_t) {
                    boost::system::error_code ignored; // the client may have closed the connection first
                    if (closes)
                        peer.shutdown(tcp::socket::shutdown_send, ignored);
                });
            });
        });
        http_call_options options;
        options.idleTimeout = 100ms;
        options.maxBodyBytes = maxBody;
        std::optional<http_result> result;
        const auto address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        client.send(address, { method, "/", {}, {} }, options, [&](http_result done) { result = std::move(done); });
        const auto end = std::chrono::steady_clock::now() + 10s;
        context.restart();
        while (!result && context.run_one_until(end) > 0) { }
        peer.close();
        acceptor.close();
        context.restart();
        context.poll();
        return result.value_or(http_result {});
    }

    asio::io_context context { 1 };
    http_client client { context };
};

// Guards against a truncated, stalled or malformed response being reported as complete, or its request as not sent.
TEST_F(client_test, incomplete_and_invalid_responses_report_distinct_failures)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    struct response {
        std::string bytes;
        bool closes;
        http_failure failure;
    };
    const std::vector<response> cases {
        { "", true, http_failure::broken },
        { "", false, http_failure::idle },
        { head + "Content-Le", true, http_failure::broken },
        { head + "Content-Length: 10\r\n\r\nhello", true, http_failure::broken },
        { head + "Content-Length: 10\r\n\r\nhello", false, http_failure::idle },
        { head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", true, http_failure::broken },
        { head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", true, http_failure::none },
        { head + "Content-Length: 5\r\n\r\nhello", true, http_failure::none },
        { head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n", true, http_failure::invalid },
        { "nonsense\r\n\r\n", true, http_failure::invalid },
        { head + "X: " + std::string(1 << 20, 'a') + "\r\n\r\n", true, http_failure::invalid },
        { head + "Content-Length: 2000\r\n\r\n" + std::string(2000, 'a'), true, http_failure::invalid },
    };
    for (const auto& entry : cases) {
        const auto result = call(entry.bytes, entry.closes);
        EXPECT_EQ(httpFailureNames.name(result.failure), httpFailureNames.name(entry.failure)) << entry.bytes.substr(0, 80);
        EXPECT_TRUE(result.sent) << entry.bytes.substr(0, 80);
        if (entry.failure == http_failure::none) {
            EXPECT_EQ(result.response.body, "hello");
        }
    }
}

// Guards against waiting for a body after the response to a HEAD request, whose Content-Length announces one.
TEST_F(client_test, response_to_head_has_no_body)
{
    const auto result = call("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", false, 1000, "HEAD");
    EXPECT_TRUE(result.ok()) << result.detail;
}

} // namespace
} // namespace carawaylink
