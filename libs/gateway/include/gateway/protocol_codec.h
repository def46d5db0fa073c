#pragma once

#include "discovery/endpoint_table.h"
#include "http/message.h"
#include "routing/fleet_routes.h"

#include <optional>
#include <string>
#include <vector>

namespace carawaylink::gateway {

/// What a caller's request says besides method, path and body.
struct request_metadata {
    /// Names one attempt of the caller; empty where it has none.
    std::string attempt;
    /// Time that the caller waits.
    std::optional<duration> timeLeft;
    std::optional<tokens> prompt;
    /// Most output that the caller accepts.
    std::optional<tokens> outputLimit;
    /// The caller's estimate of the output.
    std::optional<tokens> outputHint;
    /// Id of the last event that the caller has of this stream.
    std::optional<std::uint64_t> lastEventId;
    std::string key;
};

/// What the gateway adds to a request that goes to an endpoint.
struct dispatch_metadata {
    discovery::replica_id replica;
    duration timeLeft {};
    std::optional<team_id> team;
    std::optional<std::uint64_t> lastEventId;
};

/// What an endpoint's response says of itself.
struct response_metadata {
    /// The endpoint did not and will not run the request.
    bool notExecuted = false;
    /// Another process than the one that was meant answered; it did not run the request either.
    bool isReplaced = false;
    /// The response names another attempt, or is in a form that cannot be the endpoint's own.
    bool isMismatched = false;
    /// The body is a series of events.
    bool isEventStream = false;
};

/// A caller's question where to connect.
struct directory_query {
    std::string host;
    failure_domain domain;
};

enum class store_topic {
    /// The operator's configuration.
    configuration,
    /// Entries that endpoints write of themselves.
    endpoints,
    /// Peer addresses of the nodes of this fleet.
    nodes,
};

struct store_record {
    std::string key;
    /// Absent where the key was dropped.
    std::optional<std::string> value;
};

/// One page of the newest record of each key.
struct snapshot_page {
    std::vector<store_record> records;
    bool more = false;
    std::uint64_t end = 0;
};

/// Records of the log from an offset on.
struct log_page {
    std::vector<store_record> records;
    std::uint64_t end = 0;
};

/// Names and formats of the surroundings: headers of callers and endpoints, calls and records of the store. Holds no state.
class protocol_codec {
public:
    virtual ~protocol_codec() = default;

    virtual request_metadata decodeRequest(const http_request& request) const = 0;
    virtual std::vector<http_header> endpointHeaders(const http_request& request, const dispatch_metadata& facts) const = 0;
    virtual response_metadata decodeResponse(const http_response& response, const std::string& attempt) const = 0;
    /// Headers of an endpoint's response that the caller gets.
    virtual std::vector<http_header> callerHeaders(const http_response& response) const = 0;

    virtual std::optional<directory_query> decodeDirectoryQuery(const http_request& request) const = 0;
    virtual http_response directoryResponse(const std::vector<std::string>& addresses, duration lifetime) const = 0;
    virtual bool isReadinessQuery(const http_request& request) const = 0;

    virtual http_request readSnapshot(store_topic topic, const std::string& afterKey) const = 0;
    virtual http_request readLog(store_topic topic, std::uint64_t from, duration wait) const = 0;
    virtual http_request publish(store_topic topic, const std::string& key, const std::string& value) const = 0;
    /// Both throw error(invalid_message) for a body that is no page.
    virtual snapshot_page decodeSnapshot(const http_response& response) const = 0;
    virtual log_page decodeLog(const http_response& response) const = 0;
    /// True where the records that were asked for are no longer kept.
    virtual bool isOffsetExpired(const http_response& response) const = 0;

    /// Nothing where the record is another one; throws error(invalid_message) where it cannot be read.
    virtual std::optional<routing::fleet_routes> decodeConfiguration(const store_record& record) const = 0;
    /// Throws error(invalid_message) for an entry that names no usable endpoint.
    virtual discovery::registry_change decodeEndpoint(const store_record& record) const = 0;
};

} // namespace carawaylink::gateway
