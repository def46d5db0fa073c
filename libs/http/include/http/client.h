#pragma once

#include "base/enum_table.h"
#include "base/ids.h"
#include "http/message.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace carawaylink {

enum class http_failure {
    none,
    /// No connection could be made: the request was certainly not sent.
    connect,
    /// The connection ended before the response did.
    broken,
    /// No byte arrived for the idle time.
    idle,
    /// The response broke the protocol or a limit.
    invalid,
    /// cancel() was called.
    cancelled,
};

inline constexpr auto httpFailureNames = enumTable<http_failure>({
    { http_failure::none, "none" },
    { http_failure::connect, "connect" },
    { http_failure::broken, "broken" },
    { http_failure::idle, "idle" },
    { http_failure::invalid, "invalid" },
    { http_failure::cancelled, "cancelled" },
});

struct http_result {
    http_failure failure = http_failure::none;
    /// False only where the peer certainly received no byte of the request.
    bool sent = false;
    std::string detail;
    /// Empty body for streamed calls.
    http_response response;

    bool ok() const { return failure == http_failure::none; }
};

struct http_call_options {
    duration connectTimeout = std::chrono::seconds(1);
    /// Longest silence while the request is written or the response is awaited or read.
    duration idleTimeout = std::chrono::seconds(30);
    /// Largest whole body; streamed bodies are not limited.
    std::size_t maxBodyBytes = 64U << 20;
    /// Uses an idle connection of an earlier call where there is one.
    bool reuseConnection = true;
};

struct http_stream_handlers {
    std::function<void(const http_response& head)> onHead;
    std::function<void(std::string_view bytes)> onData;
    std::function<void(const http_result& result)> onDone;
};

/// A running call.
class http_call {
public:
    virtual ~http_call() = default;
    /// Ends the call and closes its connection; onDone gets http_failure::cancelled. Safe after the end.
    virtual void cancel() = 0;
    /// Stops reading until resume(), so that a slow consumer holds back the peer.
    virtual void pause() = 0;
    virtual void resume() = 0;
};

/// HTTP/1.1 client with kept-alive connections, for one event loop: calls and callbacks run on that loop's thread.
///
///     client.send("127.0.0.1:80", { "GET", "/load" }, {}, [](http_result result) { ... });
class http_client {
public:
    explicit http_client(boost::asio::io_context& context);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    std::shared_ptr<http_call> send(
        const std::string& address, http_request request, http_call_options options, std::function<void(http_result)> onDone);
    std::shared_ptr<http_call> stream(
        const std::string& address, http_request request, http_call_options options, http_stream_handlers handlers);

    struct connection_cache;

private:
    std::shared_ptr<connection_cache> m_cache;
};

/// Client for tools and tests that waits for the response; opens a connection for every request.
class blocking_http_client {
public:
    /// Throws error(unavailable) where the address cannot be reached, error(timeout) where the response does not come in time.
    http_response send(const std::string& address, const http_request& request, duration timeout);
};

} // namespace carawaylink
