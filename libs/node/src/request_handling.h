#pragma once

#include "base/error.h"
#include "request_frontend.h"

#include <boost/json/object.hpp>

namespace carawaylink {

/// Thrown while a request is read; becomes the response.
struct refused_request {
    refusal reason;
};

/// JSON body and Retry-After header of a refusal.
http_response refusalResponse(const refusal& reason);
/// Body of a refusal as JSON text.
std::string refusalBody(const refusal& reason);

/// The team of a bearer key. Throws refused_request where it is missing or unknown.
const team_policy& authenticate(const fleet_view& view, const http_request& request);

/// Fills what the headers say: tier, deadline, ticket, idempotence, forwarding. Throws refused_request.
void readSchedulingHeaders(const fleet_view& view, const team_policy& team, const http_request& request, dispatch_request& result);

/// A request body for an engine, read and checked.
struct completion_request {
    service_id service;
    bool streamed = false;
    bool chat = false;
    std::string prompt;
    tokens maxOutputTokens;
    /// Body to send to the engine, always with "stream": true.
    std::string engineBody;
    std::string model;
};

/// Reads an OpenAI completion or chat completion body. Throws refused_request.
completion_request readCompletion(const fleet_view& view, const team_policy& team, const http_request& request);

/// Sends the request to its home and passes the response through. onUnreachable is called where no byte of a response arrived.
void forwardRequest(const std::shared_ptr<frontend_context>& context, const http_request& request, const std::string& address,
    const std::shared_ptr<http_responder>& responder, std::function<void()> onUnreachable);

/// Asks for a slot and streams the answer of an engine to the caller.
void startCompletion(const std::shared_ptr<frontend_context>& context, http_request original, completion_request completion,
    dispatch_request request, const std::shared_ptr<http_responder>& responder);

/// Asks for a slot and passes one call to a plain service.
void startPlainCall(const std::shared_ptr<frontend_context>& context, http_request original, std::string servicePath, dispatch_request request,
    const std::shared_ptr<http_responder>& responder);

} // namespace carawaylink
