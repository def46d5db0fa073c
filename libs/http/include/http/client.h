#pragma once

#include "base/enum_table.h"
#include "base/ids.h"
#include "base/memory_budget.h"
#include "http/message.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace boost::asio {
class io_context;
}

namespace carawaylink {

enum class http_failure {
    none,
    /// The connection could not be established; no part of the request was sent.
    connect,
    /// The connection closed before the response was complete.
    broken,
    /// The idle timeout expired.
    idle,
    /// The response violated the protocol or exceeded a limit.
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

/// The connection that a call uses.
struct http_connection {
    /// Counts the connections of the client from 1; 0 before the call has one.
    std::uint64_t number = 0;
    /// Requests that it carried before this one.
    std::uint32_t earlierRequests = 0;
};

struct http_result {
    http_failure failure = http_failure::none;
    /// False only if no byte of the request can have reached the peer.
    bool sent = false;
    std::string detail;
    /// The body is empty for streamed calls.
    http_response response;

    bool ok() const { return failure == http_failure::none; }
};

struct http_call_options {
    duration connectTimeout = std::chrono::seconds(1);
    /// Longest time without progress while writing the request or while waiting for and reading the response.
    duration idleTimeout = std::chrono::seconds(30);
    /// Longest time for a whole call of send(), so that a peer that sends a byte now and then does not hold it for ever; streamed calls
    /// are not limited.
    duration totalTimeout = std::chrono::minutes(2);
    /// Limit of the response body of send(); streamed bodies are not limited.
    std::size_t maxBodyBytes = 64U << 20;
    /// Reuses an idle keep-alive connection if one is available.
    bool reuseConnection = true;
    /// Hash of what the response names its request by. A connection carries each key once, so that a response which bears the key
    /// cannot be that to an earlier call.
    std::optional<std::uint64_t> answerKey;
};

struct http_stream_handlers {
    std::function<void(const http_response& head)> onHead;
    std::function<void(std::string_view bytes)> onData;
    std::function<void(const http_result& result)> onDone;
};

/// Handle of a call in progress.
class http_call {
public:
    virtual ~http_call() = default;
    /// Aborts the call and closes its connection; onDone receives http_failure::cancelled. No effect on a completed call.
    virtual void cancel() = 0;
    /// Stops reading until resume(), so that a slow consumer applies backpressure to the peer.
    virtual void pause() = 0;
    virtual void resume() = 0;
    virtual http_connection connection() const = 0;
    /// When the latest part of the response arrived; nullopt before its head.
    virtual std::optional<monotonic_time> lastReceivedAt() const = 0;
};

/// HTTP/1.1 client with persistent connections, bound to one event loop. Call it only from the thread of that loop; callbacks run
/// there too.
///
///     client.send("127.0.0.1:80", { "GET", "/load" }, {}, [](http_result result) { ... });
class http_client {
public:
    /// memory: counts the requests that are not written yet and the response bodies that send() collects; must outlive the calls.
    explicit http_client(boost::asio::io_context& context, memory_budget* memory = nullptr);
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

/// Synchronous client for tools and tests; opens a new connection for each request.
class blocking_http_client {
public:
    /// Throws error(timeout) if the response does not arrive in time, and error(unavailable) on any other failure.
    http_response send(const std::string& address, const http_request& request, duration timeout);
};

} // namespace carawaylink
