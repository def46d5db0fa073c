#pragma once

#include "gateway/protocol_codec.h"

#include <algorithm>
#include <string>

namespace carawaylink::gateway {

/// Codec for tests. Callers send the headers "attempt", "left" (ms), "key", "part" (one shared part of the prompt) and "prefix" (tokens of
/// the prompt before the last part); endpoints respond with "ran: no" if they did not execute the request, "other: yes" if they are not the
/// addressed replica and "unnamed: yes" if the response names no attempt, name a request limit in "limit", say that they leave in "leaving"
/// and ask for rest (ms) in "rest".
class test_codec : public protocol_codec {
public:
    request_metadata decodeRequest(const http_request& request) const override
    {
        request_metadata metadata;
        metadata.attempt = request.header("attempt").value_or("");
        if (const auto left = request.header("left"))
            metadata.timeLeft = std::chrono::milliseconds(std::stoi(std::string(*left)));
        metadata.key = request.header("key").value_or("");
        if (const auto part = request.header("part"))
            metadata.sharedParts = { "common", std::string(*part) };
        if (const auto prefix = request.header("prefix")) {
            const tokens shared { std::stoi(std::string(*prefix)) };
            const tokens own { 300 };
            metadata.promptParts = { { "shared", shared }, { metadata.attempt, own } };
            metadata.prompt = tokens { shared.value + own.value };
        }
        return metadata;
    }
    std::vector<http_header> endpointHeaders(const http_request& request, const dispatch_metadata& metadata) const override
    {
        std::vector<http_header> headers { { "attempt", std::string(request.header("attempt").value_or("")) },
            { "replica", metadata.replica.value } };
        if (const auto part = request.header("part"))
            headers.push_back({ "part", std::string(*part) });
        if (metadata.lastEventId)
            headers.push_back({ "after", std::to_string(*metadata.lastEventId) });
        return headers;
    }
    response_metadata decodeResponse(const http_response& response, const std::string& attempt) const override
    {
        response_metadata metadata;
        metadata.isReplaced = response.header("other").has_value();
        metadata.notExecuted = metadata.isReplaced || response.header("ran").has_value();
        const auto echoed = response.header("attempt");
        if (!response.header("unnamed"))
            metadata.identity = echoed.value_or(attempt) == attempt ? response_identity::own : response_identity::other;
        metadata.isMismatched = metadata.identity == response_identity::other;
        if (const auto limit = response.header("limit"))
            metadata.requestLimit = std::stod(std::string(*limit));
        metadata.isLeaving = response.header("leaving").has_value();
        if (const auto rest = response.header("rest"))
            metadata.rest = std::chrono::milliseconds(std::stoi(std::string(*rest)));
        metadata.isEventStream = response.header("Content-Type").value_or("") == "text/event-stream";
        return metadata;
    }
    std::vector<http_header> callerHeaders(const http_response& response) const override
    {
        std::vector<http_header> headers;
        std::ranges::copy_if(
            response.headers, std::back_inserter(headers), [](const http_header& header) { return !isConnectionHeader(header); });
        return headers;
    }
    std::optional<directory_query> decodeDirectoryQuery(const http_request&) const override { return std::nullopt; }
    http_response directoryResponse(const std::vector<std::string>&, duration) const override { return {}; }
    bool isReadinessQuery(const http_request&) const override { return true; }
    http_request readSnapshot(store_topic, const std::string&) const override { return {}; }
    http_request readLog(store_topic, std::uint64_t, duration) const override { return {}; }
    http_request publish(store_topic, const std::string&, const std::string&) const override { return {}; }
    snapshot_page decodeSnapshot(const http_response&) const override { return {}; }
    log_page decodeLog(const http_response&) const override { return {}; }
    bool isOffsetExpired(const http_response&) const override { return false; }
    std::optional<std::uint64_t> firstOffset(const http_response&) const override { return std::nullopt; }
    std::optional<std::uint64_t> storeHistory(const http_response& response) const override
    {
        const auto history = response.header("history");
        return history ? std::optional<std::uint64_t>(std::stoull(std::string(*history))) : std::nullopt;
    }
    std::optional<routing::fleet_configuration> decodeConfiguration(const store_record&) const override { return std::nullopt; }
    http_request append(store_topic, const store_record&, std::uint64_t) const override { return {}; }
    append_result decodeAppend(const http_response&) const override { return {}; }
    std::optional<rollout::order> decodeOrder(const store_record&) const override { return std::nullopt; }
    std::optional<service_status> decodeStatus(const store_record&) const override { return std::nullopt; }
    store_record encodeStatus(const service_status&, const route_name_source&) const override { return {}; }
    discovery::registry_change decodeEndpoint(const store_record&) const override { return {}; }
};

// Record values are the state of an endpoint: "ready" or "draining".
class state_codec : public test_codec {
public:
    discovery::registry_change decodeEndpoint(const store_record& record) const override
    {
        discovery::registry_change change { discovery::replica_id { record.key }, std::nullopt };
        if (record.value)
            change.record = { change.id, service_id { "s" }, endpoint_id { record.key + ":80" }, failure_domain { "a" }, 4,
                *record.value == "draining", 1 };
        return change;
    }
};

} // namespace carawaylink::gateway
