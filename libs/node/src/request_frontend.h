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

/// What the front needs from the control thread; every member may be called from any thread.
struct control_gateway {
    /// The callback runs on the given front thread.
    std::function<void(dispatch_request request, std::size_t thread, dispatch_callback callback)> acquire;
    std::function<void(const request_id& request)> withdraw;
    std::function<void(const slot_release& release, std::optional<repeat_answer> answer)> finished;
    std::function<void(const endpoint_id& endpoint)> endpointLeaving;
    /// True where the service's retry budget allows one more attempt.
    std::function<bool(const service_id& service)> tryRetry;
    /// Tokens and cost of a finished request for the team's account.
    std::function<void(const team_id& team, tier level, const slot_release& release)> account;
    std::function<void(const team_id& team, std::size_t tickets, std::size_t thread, std::function<void(http_response)> callback)> entry;
    /// Operator interface, already authorized.
    std::function<void(http_request request, std::size_t thread, std::function<void(http_response)> callback)> admin;
};

struct request_frontend_settings {
    std::uint64_t requestOrigin = 0;
    duration streamIdle = std::chrono::seconds(1);
    std::vector<std::string> operatorKeyHashes;
};

/// Everything that one request needs from the front; lives as long as the front.
struct frontend_context {
    request_frontend_settings settings;
    io_threads& threads;
    rcu_cell<std::shared_ptr<const fleet_view>>& view;
    control_gateway gateway;
    metrics& measured;
    std::atomic<std::uint64_t> nextRequest = 1;
    std::atomic<std::int64_t> running = 0;
    /// One client for each thread.
    std::vector<std::unique_ptr<http_client>> clients;

    std::shared_ptr<const fleet_view> currentView() const { return *view.read(); }
};

/// Callers' and operators' HTTP interface: authenticates, parses, and hands the request on.
class request_frontend {
public:
    request_frontend(io_threads& threads, rcu_cell<std::shared_ptr<const fleet_view>>& view, request_frontend_settings settings,
        control_gateway gateway, metrics& measured);
    ~request_frontend();

    void handle(http_request request, std::shared_ptr<http_responder> responder);
    /// Requests that have not been answered to their end.
    std::int64_t running() const { return m_context->running; }

private:
    void handleCompletion(const http_request& request, const std::shared_ptr<http_responder>& responder);
    void handlePlain(http_request request, const std::shared_ptr<http_responder>& responder);
    void handleEntry(const http_request& request, const std::shared_ptr<http_responder>& responder);
    void handleAdmin(http_request request, const std::shared_ptr<http_responder>& responder);

    std::shared_ptr<frontend_context> m_context;
};

} // namespace carawaylink
