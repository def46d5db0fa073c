#pragma once

#include "base/error.h"
#include "request_frontend.h"

#include <boost/json/object.hpp>

namespace carawaylink {

/// Thrown if a request is invalid or not allowed; the frontend sends the refusal as the response.
struct refused_request {
    refusal reason;
};

/// Response with the JSON body and Retry-After header of a refusal.
http_response refusalResponse(const refusal& reason);
/// JSON body of a refusal.
std::string refusalBody(const refusal& reason);

/// Returns the team that the bearer key belongs to. Throws refused_request if the key is missing or unknown.
const team_policy& authenticate(const fleet_view& view, const http_request& request);

/// Reads tier, deadline, ticket, idempotence and forwarding from the headers. Throws refused_request.
void readSchedulingHeaders(const fleet_view& view, const team_policy& team, const http_request& request, dispatch_request& result);

/// A parsed and validated request body for a model engine.
struct completion_request {
    service_id service;
    bool streamed = false;
    bool chat = false;
    std::string prompt;
    tokens maxOutputTokens;
    /// Body sent to the engine; always has "stream": true.
    std::string engineBody;
    std::string model;
};

/// Parses the body of an OpenAI completion or chat completion. Throws refused_request.
completion_request readCompletion(const fleet_view& view, const team_policy& team, const http_request& request);

/// Forwards the request to its home node and relays the response. Calls onUnreachable if no response header was received.
void forwardRequest(const std::shared_ptr<frontend_context>& context, const http_request& request, const std::string& address,
    const std::shared_ptr<http_responder>& responder, std::function<void()> onUnreachable);

/// Acquires a slot, dispatches the completion to an engine and relays the result to the caller.
void startCompletion(const std::shared_ptr<frontend_context>& context, http_request original, completion_request completion,
    dispatch_request request, const std::shared_ptr<http_responder>& responder);

/// Acquires a slot and forwards the call to a plain service.
void startPlainCall(const std::shared_ptr<frontend_context>& context, http_request original, std::string servicePath,
    dispatch_request request, const std::shared_ptr<http_responder>& responder);

} // namespace carawaylink
