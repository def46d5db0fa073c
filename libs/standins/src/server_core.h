#pragma once

#include "base/error.h"
#include "http/io_threads.h"
#include "http/server.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace carawaylink {

/// The answer to one request. It writes nothing more once its connection was made silent.
class reply {
public:
    explicit reply(std::shared_ptr<http_responder> responder)
        : m_responder(std::move(responder))
    {
    }

    void send(http_response response);
    void start(unsigned status, std::vector<http_header> headers);
    void write(std::string_view bytes);
    void finish();
    void abort();
    std::size_t pendingBytes() const { return m_responder->pendingBytes(); }
    void onDrained(std::function<void()> handler) { m_responder->onDrained(std::move(handler)); }
    bool closed() const { return m_responder->closed(); }
    bool silent() const { return m_silent; }
    void silence() { m_silent = true; }

private:
    std::shared_ptr<http_responder> m_responder;
    bool m_silent = false;
};

using reply_pointer = std::shared_ptr<reply>;

/// {"error":{"type":..,"message":..}}
http_response errorAnswer(unsigned status, std::string_view type, std::string_view message);

/// What all stand-ins share: one event loop, /faults, and the switches pause and silent_connections. All hooks run on the
/// thread of the loop.
class server_core {
public:
    struct hooks {
        std::function<void(http_request, reply_pointer)> handle;
        std::function<std::string()> faults;
        /// Throws error(invalid_argument).
        std::function<void(std::string_view json)> applyFaults;
        std::function<bool()> paused;
        std::function<bool()> silent;
    };

    explicit server_core(hooks serverHooks);
    ~server_core();

    std::string listen(const std::string& address);
    /// Empty before listen().
    const std::string& address() const { return m_address; }
    boost::asio::io_context& context() { return m_threads.context(0); }
    void post(std::function<void()> work) { m_threads.post(0, std::move(work)); }
    void after(duration delay, std::function<void()> work);
    void sendAfter(duration delay, reply_pointer answer, http_response response);
    /// Ends the loop; no hook runs afterwards.
    void stop() { m_threads.stop(); }

private:
    void receive(std::uint64_t generation, http_request request, std::shared_ptr<http_responder> responder);
    void handle(http_request request, const reply_pointer& answer);
    void changeFaults(const http_request& request, const std::shared_ptr<http_responder>& responder);
    void silenceConnections();
    std::string startServer(const std::string& address);

    io_threads m_threads;
    hooks m_hooks;
    std::string m_address;
    /// Number of times that the connections were made silent; each has a server of its own.
    std::uint64_t m_generation = 0;
    std::vector<std::unique_ptr<http_server>> m_servers;
    std::vector<std::weak_ptr<reply>> m_open;
    std::list<reply_pointer> m_silenced;
    std::vector<std::pair<http_request, reply_pointer>> m_held;
};

} // namespace carawaylink
