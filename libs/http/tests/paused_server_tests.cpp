#include "base/error.h"
#include "http/client.h"
#include "http/server.h"

#include <boost/asio.hpp>
#include <future>
#include <gtest/gtest.h>

namespace carawaylink {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

const std::string requestBytes = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

/// A server that turns its callers away for a while.
class paused_server_test : public testing::Test {
protected:
    ~paused_server_test() override { m_threads.stop(); }

    void run(const std::function<void()>& work)
    {
        std::promise<void> done;
        m_threads.post(0, [&] {
            work();
            done.set_value();
        });
        done.get_future().get();
    }

    void pause()
    {
        run([this] { m_server.pause(); });
        // The work of the pause is posted behind it.
        run([] {});
    }

    unsigned ask() { return blocking_http_client().send(m_address, { "GET", "/x", { { "Host", "h" } }, {} }, 5s).status; }

    io_threads m_threads { 1 };
    http_server m_server { m_threads, {}, [](const http_request&, const std::shared_ptr<http_responder>& responder) {
                              responder->send({ 200, {}, "whole" });
                          } };
    std::string m_address = m_server.listen("127.0.0.1:0");
};

// A caller that cannot connect turns to another node at once.
TEST_F(paused_server_test, newConnection_isRefusedUntilTheServerResumes)
{
    EXPECT_EQ(ask(), 200U);
    pause();
    EXPECT_THROW(ask(), error);
    run([this] { m_server.resume(m_address); });
    EXPECT_EQ(ask(), 200U);
}

TEST_F(paused_server_test, keptConnection_isClosedWhileItWaitsForARequest)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    const auto colon = m_address.find(':');
    socket.connect(
        { asio::ip::make_address(m_address.substr(0, colon)), static_cast<unsigned short>(std::stoi(m_address.substr(colon + 1))) });
    asio::write(socket, asio::buffer(requestBytes));
    std::string received;
    while (!received.ends_with("whole")) {
        std::array<char, 512> part {};
        received.append(part.data(), socket.read_some(asio::buffer(part)));
    }
    pause();
    std::array<char, 1> rest {};
    boost::system::error_code status;
    socket.read_some(asio::buffer(rest), status);
    EXPECT_EQ(status, asio::error::eof);
}

} // namespace
} // namespace carawaylink
