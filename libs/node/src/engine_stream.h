#pragma once

#include "base/enum_table.h"
#include "base/ids.h"
#include "http/client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

namespace carawaylink {

enum class stream_outcome {
    /// The whole answer was received.
    complete,
    /// The engine refused the request before running it.
    rejected,
    /// No connection to the engine could be made; it did not receive the request.
    unreachable,
    /// The stream cannot be continued; whether or how far the request ran is unknown.
    lost,
    /// cancel() was called.
    cancelled,
};

inline constexpr auto streamOutcomeNames = enumTable<stream_outcome>({
    { stream_outcome::complete, "complete" },
    { stream_outcome::rejected, "rejected" },
    { stream_outcome::unreachable, "unreachable" },
    { stream_outcome::lost, "lost" },
    { stream_outcome::cancelled, "cancelled" },
});

struct stream_result {
    stream_outcome outcome = stream_outcome::lost;
    tokens promptTokens;
    tokens cachedTokens;
    tokens outputTokens;
    /// Status and body of a rejection.
    unsigned status = 0;
    std::string body;
    bool endpointLeaving = false;
    std::string detail;
};

struct engine_stream_handlers {
    /// One whole server-sent event with its final blank line; tokens come once each and in order.
    std::function<void(std::string_view event)> onEvent;
    std::function<void(const stream_result& result)> onDone;
};

/// Reads one answer from a model engine. The request is sent once; a broken or silent connection is resumed by token offset on
/// a new one. All calls come from the thread of the client's event loop.
class engine_stream : public std::enable_shared_from_this<engine_stream> {
public:
    engine_stream(boost::asio::io_context& context, http_client& client, endpoint_id endpoint, request_id request, duration idleLimit,
        engine_stream_handlers handlers);

    /// Dispatches the request.
    void dispatch(const std::string& path, std::string body);
    /// Reads the answer of a request that was dispatched before, from its first token.
    void attach();
    /// Cancels the request at the engine.
    void cancel();
    void pause();
    void resume();

    std::int64_t receivedTokens() const { return m_expected; }

private:
    void run(http_request request, bool isDispatch);
    void headArrived(const http_response& head);
    void received(std::string_view bytes);
    void handleEvent(std::string_view event);
    void askForMissing();
    /// Returns the number of output tokens that the engine counted; 0 where the event does not tell.
    std::int64_t readUsage(std::string_view data);
    void callEnded(const http_result& result);
    void scheduleResume();
    void finish(stream_outcome outcome, std::string detail);

    boost::asio::io_context& m_context;
    http_client& m_client;
    endpoint_id m_endpoint;
    request_id m_request;
    duration m_idleLimit;
    engine_stream_handlers m_handlers;
    std::shared_ptr<http_call> m_call;
    boost::asio::steady_timer m_timer;
    std::string m_buffer;
    std::string m_errorBody;
    stream_result m_result;
    std::uint64_t m_generation = 0;
    std::int64_t m_expected = 0;
    std::size_t m_failedAttempts = 0;
    std::size_t m_gapsInARow = 0;
    unsigned m_status = 0;
    bool m_isDispatch = false;
    bool m_gapSeen = false;
    bool m_known = false;
    bool m_usageSeen = false;
    bool m_doneSeen = false;
    bool m_paused = false;
    bool m_finished = false;
};

} // namespace carawaylink
