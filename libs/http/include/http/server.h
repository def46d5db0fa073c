#pragma once

#include "base/ids.h"
#include "base/memory_budget.h"
#include "http/io_threads.h"
#include "http/message.h"

#include <functional>
#include <memory>
#include <string>

namespace carawaylink {

struct http_server_limits {
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = 8U << 20;
    duration headerTimeout = std::chrono::seconds(10);
    duration bodyTimeout = std::chrono::seconds(30);
    /// Longest time that one write may take before the connection to a client that does not read is closed.
    duration writeTimeout = std::chrono::seconds(30);
    duration idleTimeout = std::chrono::seconds(60);
    std::size_t maxConnections = 20000;
};

/// Writes the response of one request. All calls must come from the thread of the connection's event loop, threadIndex().
/// The response is aborted if the last reference is released before send() or finish().
class http_responder {
public:
    virtual ~http_responder() = default;

    virtual void send(http_response response) = 0;
    /// Starts a chunked response.
    virtual void start(unsigned status, std::vector<http_header> headers) = 0;
    virtual void write(std::string_view bytes) = 0;
    /// Completes a chunked response.
    virtual void finish() = 0;
    /// Closes the connection without the final chunk, so that the client detects an incomplete response.
    virtual void abort() = 0;

    /// Number of bytes that are not written to the socket yet.
    virtual std::size_t pendingBytes() const = 0;
    /// Sets a handler that is called each time all pending bytes have been written.
    virtual void onDrained(std::function<void()> handler) = 0;
    /// Sets a handler that is called once if the connection closes before the response is complete.
    virtual void onClosed(std::function<void()> handler) = 0;
    virtual bool closed() const = 0;
    virtual std::size_t threadIndex() const = 0;
};

using http_handler = std::function<void(http_request request, std::shared_ptr<http_responder> responder)>;

/// HTTP/1.1 server. The handler runs on the thread of the request's connection.
class http_server {
public:
    /// memory: counts request bodies that arrive and responses that are not written yet; only for servers with a single thread, which it
    /// must outlive.
    http_server(io_threads& threads, http_server_limits limits, http_handler handler, memory_budget* memory = nullptr);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Listens on "ip:port"; port 0 selects a free port. Returns the bound address. Throws error(unavailable) if binding fails.
    std::string listen(const std::string& address);
    /// Takes effect on each connection with its next request. Only for servers with a single thread.
    void setLimits(http_server_limits limits);
    /// Closes each connection after its next response and announces this in the response; still accepts connections.
    void closeAfterResponses();
    /// Stops accepting connections. Responses in progress continue, and their connections close afterwards.
    void stopAccepting();
    /// Refuses new connections until resume(); those that wait for a request are closed, the others after their responses. Only for servers
    /// with a single thread, and to be called there.
    void pause();
    /// Listens again. Throws error(unavailable) if binding fails.
    void resume(const std::string& address);
    std::size_t connections() const;
    /// Number of responses, complete or not, with bytes that are not written to their sockets yet. Thread-safe.
    std::size_t unwrittenResponses() const;

    struct shared_state;

private:
    std::shared_ptr<shared_state> m_state;
};

} // namespace carawaylink
