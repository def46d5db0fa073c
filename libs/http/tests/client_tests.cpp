#include "base/memory_budget.h"
#include "http/client.h"

#include <atomic>
#include <boost/asio.hpp>
#include <functional>
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

    static constexpr std::size_t maxBytes = 24U << 20;

    memory_budget memory { maxBytes, [this](std::function<void()> work) { asio::post(context, std::move(work)); } };
    asio::io_context context { 1 };
    http_client client { context, &memory };
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

// Guards against an endpoint that does not read and makes the process hold requests beside its budget.
TEST_F(client_test, request_that_its_peer_does_not_read_counts_as_memory_and_ends_when_it_exceeds_it)
{
    constexpr std::size_t bodyBytes = maxBytes * 2 / 3;
    tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    const auto address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    std::vector<http_failure> failures;
    const auto send = [&] {
        client.send(address, { "POST", "/", {}, std::string(bodyBytes, 'x') }, {},
            [&](const http_result& done) { failures.push_back(done.failure); });
        context.restart();
        context.run_for(50ms);
    };
    send();
    EXPECT_GE(memory.usedBytes(), bodyBytes);
    EXPECT_TRUE(failures.empty());
    send();
    EXPECT_EQ(failures, std::vector { http_failure::cancelled });
    EXPECT_LT(memory.usedBytes(), maxBytes);
}

/// A server with a script for each of its connections; counts the connections.
class scripted_server {
public:
    using script = std::function<void(tcp::socket& peer, std::size_t connection)>;

    explicit scripted_server(script perform)
        : m_acceptor(m_context, { asio::ip::make_address("127.0.0.1"), 0 })
        , m_thread([this, perform = std::move(perform)] {
            for (std::size_t connection = 0; !m_stopped; ++connection) {
                boost::system::error_code status;
                auto peer = std::make_shared<tcp::socket>(m_context);
                m_acceptor.accept(*peer, status);
                if (!status && !m_stopped)
                    m_peers.push_back({ peer, std::thread([&perform, connection, peer] { perform(*peer, connection); }) });
            }
            // A script may still wait for a request on a connection that the client keeps.
            for (auto& peer : m_peers) {
                ::shutdown(peer.socket->native_handle(), SHUT_RDWR);
                peer.thread.join();
            }
        })
    {
    }
    ~scripted_server()
    {
        m_stopped = true;
        asio::io_context context;
        tcp::socket wake(context);
        boost::system::error_code ignored;
        wake.connect(m_acceptor.local_endpoint(), ignored);
        m_thread.join();
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }

private:
    struct peer_connection {
        std::shared_ptr<tcp::socket> socket;
        std::thread thread;
    };

    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::atomic<bool> m_stopped = false;
    std::vector<peer_connection> m_peers;
    std::thread m_thread;
};

std::string readRequest(tcp::socket& peer)
{
    std::string text;
    boost::system::error_code status;
    const auto size = asio::read_until(peer, asio::dynamic_buffer(text), "\r\n\r\n", status);
    return text.substr(0, size);
}

std::string answer(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

class client_in_trouble_test : public testing::Test {
protected:
    http_result call(const std::string& address, const std::string& target, http_call_options options = {})
    {
        std::optional<http_result> result;
        m_client.send(address, { "GET", target, {}, {} }, options, [&](http_result done) { result = std::move(done); });
        m_context.restart();
        const auto end = std::chrono::steady_clock::now() + 20s;
        while (!result && m_context.run_one_until(end) > 0) { }
        return result.value_or(http_result {});
    }

    asio::io_context m_context { 1 };
    http_client m_client { m_context };
};

// Guards against an answer that goes to the next caller: a server sent a second copy of it, late, on a connection in use again.
TEST_F(client_in_trouble_test, connection_with_a_second_copy_of_an_answer_is_not_used_again)
{
    scripted_server server([](tcp::socket& peer, std::size_t connection) {
        boost::system::error_code ignored;
        readRequest(peer);
        const auto body = "connection " + std::to_string(connection);
        asio::write(peer, asio::buffer(answer(body)), ignored);
        asio::write(peer, asio::buffer(answer(body)), ignored);
        readRequest(peer);
    });
    EXPECT_EQ(call(server.address(), "/a").response.body, "connection 0");
    std::this_thread::sleep_for(50ms);
    EXPECT_EQ(call(server.address(), "/b").response.body, "connection 1");
}

// Guards against an answer to an earlier call that passes for that to a later one, because both calls bear the same key.
TEST_F(client_in_trouble_test, connection_carries_each_answer_key_once)
{
    scripted_server server([](tcp::socket& peer, std::size_t connection) {
        boost::system::error_code ignored;
        const auto body = "connection " + std::to_string(connection);
        while (!readRequest(peer).empty())
            asio::write(peer, asio::buffer(answer(body)), ignored);
    });
    const auto callWithKey = [&](std::uint64_t key) {
        http_call_options options;
        options.answerKey = key;
        return call(server.address(), "/", options).response.body;
    };
    EXPECT_EQ(callWithKey(1), "connection 0");
    EXPECT_EQ(callWithKey(2), "connection 0");
    EXPECT_EQ(callWithKey(1), "connection 1");
    EXPECT_EQ(callWithKey(1), "connection 2");
    EXPECT_EQ(callWithKey(3), "connection 2");
    EXPECT_EQ(call(server.address(), "/").response.body, "connection 2");
}

// Guards against keys that are kept without bound while a connection stays in use.
TEST_F(client_in_trouble_test, connection_is_replaced_when_it_holds_the_most_keys)
{
    std::atomic<std::size_t> connections = 0;
    scripted_server server([&](tcp::socket& peer, std::size_t) {
        ++connections;
        boost::system::error_code ignored;
        while (!readRequest(peer).empty())
            asio::write(peer, asio::buffer(answer("x")), ignored);
    });
    for (std::uint64_t key = 0; key < 300; ++key) {
        http_call_options options;
        options.answerKey = key;
        EXPECT_EQ(call(server.address(), "/", options).response.body, "x");
    }
    EXPECT_EQ(connections, 3U);
}

// Guards against a call that never ends: a body that arrives byte by byte keeps the idle timeout from expiring.
TEST_F(client_in_trouble_test, body_that_arrives_byte_by_byte_ends_at_the_total_timeout)
{
    scripted_server server([](tcp::socket& peer, std::size_t) {
        boost::system::error_code status;
        readRequest(peer);
        asio::write(peer, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n")), status);
        while (!status) {
            asio::write(peer, asio::buffer("x", 1), status);
            std::this_thread::sleep_for(20ms);
        }
    });
    http_call_options options;
    options.idleTimeout = 200ms;
    options.totalTimeout = 500ms;
    const auto begin = std::chrono::steady_clock::now();
    const auto result = call(server.address(), "/", options);
    EXPECT_EQ(httpFailureNames.name(result.failure), "idle");
    EXPECT_LT(std::chrono::steady_clock::now() - begin, 5s);
}

// Guards against memory that fills up with bytes that are no answer: they may come without end in the place of any part of it.
TEST_F(client_in_trouble_test, endless_part_of_an_answer_ends_the_call)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    struct endless_part {
        std::string start;
        std::string repeated;
    };
    const std::vector<endless_part> parts {
        { head + "X: ", "x" },
        { head + "\r\n", "x" },
        { "", "HTTP/1.1 100 Continue\r\n\r\n" },
        { chunked, "400\r\n" + std::string(1024, 'x') + "\r\n" },
        { chunked, "x" },
        { chunked, "0" },
        { chunked + "5;", "x" },
        { chunked + "0\r\n", "X: y\r\n" },
        { chunked + "0\r\nX: ", "x" },
    };
    // What the sockets of both sides may hold on top of what the client keeps.
    constexpr std::size_t maxSentBytes = 32U << 20;
    for (const auto& part : parts) {
        std::atomic<std::size_t> sent = 0;
        std::string piece;
        while (piece.size() < 16384)
            piece += part.repeated;
        scripted_server server([&](tcp::socket& peer, std::size_t) {
            boost::system::error_code status;
            readRequest(peer);
            asio::write(peer, asio::buffer(part.start), status);
            while (!status && sent < 2 * maxSentBytes)
                sent += asio::write(peer, asio::buffer(piece), status);
        });
        http_call_options options;
        options.maxBodyBytes = 1 << 20;
        EXPECT_EQ(httpFailureNames.name(call(server.address(), "/", options).failure), "invalid") << part.start << part.repeated;
        EXPECT_LE(sent, maxSentBytes) << part.start << part.repeated;
    }
}

// Guards against memory of the system that fills up with bytes that arrive on a connection which nobody uses any more.
TEST_F(client_in_trouble_test, bytes_without_end_on_an_idle_connection_close_it)
{
    std::atomic<bool> isClosed = false;
    scripted_server server([&](tcp::socket& peer, std::size_t) {
        boost::system::error_code status;
        readRequest(peer);
        asio::write(peer, asio::buffer(answer("x")), status);
        std::this_thread::sleep_for(20ms);
        const std::string piece(16384, 'x');
        while (!status)
            asio::write(peer, asio::buffer(piece), status);
        isClosed = true;
    });
    EXPECT_EQ(call(server.address(), "/").response.body, "x");
    const auto end = std::chrono::steady_clock::now() + 20s;
    while (!isClosed && std::chrono::steady_clock::now() < end)
        m_context.run_one_until(end);
    EXPECT_TRUE(isClosed);
}

// Guards against a call that reads faster than its consumer: what it leaves unread must stay small, in the system's buffer too.
TEST_F(client_in_trouble_test, paused_call_leaves_its_peer_waiting)
{
    constexpr std::size_t maxSentBytes = 1U << 20;
    std::atomic<std::size_t> sent = 0;
    scripted_server server([&](tcp::socket& peer, std::size_t) {
        boost::system::error_code status;
        peer.set_option(tcp::socket::send_buffer_size(65536));
        readRequest(peer);
        asio::write(peer, asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\n")), status);
        const std::string piece(16384, 'x');
        while (!status && sent < 16 * maxSentBytes)
            sent += asio::write(peer, asio::buffer(piece), status);
    });
    http_stream_handlers handlers;
    std::shared_ptr<http_call> running;
    handlers.onData = [&](std::string_view) { running->pause(); };
    running = m_client.stream(server.address(), { "GET", "/", {}, {} }, {}, std::move(handlers));
    m_context.run_for(300ms);
    EXPECT_LE(sent, maxSentBytes);
    running->cancel();
}

// Guards against a process that an endpoint can end: the last chunk of an answer in three pieces did.
TEST_F(client_in_trouble_test, last_chunk_in_small_pieces_ends_the_answer)
{
    scripted_server server([](tcp::socket& peer, std::size_t) {
        boost::system::error_code ignored;
        peer.set_option(tcp::no_delay(true));
        readRequest(peer);
        for (const std::string piece : { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0\r\n", "\r", "\n" }) {
            asio::write(peer, asio::buffer(piece), ignored);
            std::this_thread::sleep_for(10ms);
        }
        readRequest(peer);
    });
    EXPECT_TRUE(call(server.address(), "/").ok());
}

/// A peer that answers with the beginning of a response without length and resets the connection while the request is still written.
class early_answer_test : public testing::Test {
protected:
    http_result upload(std::size_t bytes, bool readsFirst)
    {
        tcp::acceptor acceptor(m_context, { asio::ip::make_address("127.0.0.1"), 0 });
        tcp::socket peer(m_context);
        std::string request;
        const auto answer = [&] {
            asio::write(peer, asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\npart")));
            peer.set_option(asio::socket_base::linger(true, 0));
            peer.close();
        };
        acceptor.async_accept(peer, [&](boost::system::error_code) {
            if (readsFirst)
                asio::async_read_until(
                    peer, asio::dynamic_buffer(request), "\r\n\r\n", [&](boost::system::error_code, std::size_t) { answer(); });
            else
                answer();
        });
        std::optional<http_result> result;
        http_stream_handlers handlers;
        handlers.onDone = [&](const http_result& done) { result = done; };
        const auto address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        const auto call = m_client.stream(address, { "POST", "/", {}, std::string(bytes, 'x') }, {}, std::move(handlers));
        const auto end = std::chrono::steady_clock::now() + 10s;
        while (!result && m_context.run_one_until(end) > 0) { }
        return result.value_or(http_result {});
    }

    asio::io_context m_context { 1 };
    http_client m_client { m_context };
};

// Guards against a part of a response that passes for a complete one, since its end and the reset look alike.
TEST_F(early_answer_test, responseCutByAReset_isNotComplete)
{
    for (const std::size_t bytes : { 100U, 100'000U, 16'000'000U }) {
        for (const bool readsFirst : { false, true })
            EXPECT_NE(upload(bytes, readsFirst).failure, http_failure::none) << bytes << ' ' << readsFirst;
    }
}

} // namespace
} // namespace carawaylink
