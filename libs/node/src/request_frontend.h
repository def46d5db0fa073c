#pragma once

#include "base/rcu_cell.h"
#include "dispatch_types.h"
#include "fleet_view.h"
#include "http/client.h"
#include "http/server.h"
#include "metrics.h"
#include "scheduling/types.h"

#include <atomic>
#include <functional>
#include <memory>
#include <vector>

namespace carawaylink {

/// Calls from the frontend threads into the control thread. All members are thread-safe.
struct control_interface {
    /// Requests permission to dispatch. The callback runs on the given frontend thread.
    std::function<void(dispatch_request request, std::size_t thread, dispatch_callback callback)> acquire;
    /// Cancels a request that has not been dispatched.
    std::function<void(const request_id& request)> withdraw;
    std::function<void(const slot_release& release, std::optional<stored_response> response)> finished;
    std::function<void(const endpoint_id& endpoint)> endpointLeaving;
    /// Takes one retry from the service's retry budget; false if the budget is exhausted.
    std::function<bool(const service_id& service)> tryRetry;
    /// Adds the tokens and cost of a finished request to the team's usage.
    std::function<void(const team_id& team, tier level, const slot_release& release)> account;
    std::function<void(const team_id& team, std::size_t tickets, std::size_t thread, std::function<void(http_response)> callback)> entry;
    /// Handles a request to the operator interface; the caller has already been authorized.
    std::function<void(http_request request, std::size_t thread, std::function<void(http_response)> callback)> admin;
};

struct request_frontend_settings {
    std::uint64_t requestOrigin = 0;
    duration streamIdleTimeout = std::chrono::seconds(1);
    std::vector<std::string> operatorKeyHashes;
};

/// State shared by all requests of the frontend.
struct frontend_context {
    request_frontend_settings settings;
    io_threads& threads;
    rcu_cell<std::shared_ptr<const fleet_view>>& view;
    control_interface control;
    metrics& metricsRegistry;
    std::atomic<std::uint64_t> nextRequest = 1;
    std::atomic<std::int64_t> running = 0;
    /// One client per thread.
    std::vector<std::unique_ptr<http_client>> clients;

    std::shared_ptr<const fleet_view> currentView() const { return *view.read(); }
};

/// HTTP interface for callers and operators: authenticates and parses requests and starts their handling.
class request_frontend {
public:
    request_frontend(io_threads& threads, rcu_cell<std::shared_ptr<const fleet_view>>& view, request_frontend_settings settings,
        control_interface control, metrics& metricsRegistry);
    ~request_frontend();

    void handle(http_request request, std::shared_ptr<http_responder> responder);
    /// Number of requests whose responses are not complete.
    std::int64_t running() const { return m_context->running; }

private:
    void handleCompletion(const http_request& request, const std::shared_ptr<http_responder>& responder);
    void handlePlain(http_request request, const std::shared_ptr<http_responder>& responder);
    void handleEntry(const http_request& request, const std::shared_ptr<http_responder>& responder);
    void handleAdmin(http_request request, const std::shared_ptr<http_responder>& responder);

    std::shared_ptr<frontend_context> m_context;
};

} // namespace carawaylink
