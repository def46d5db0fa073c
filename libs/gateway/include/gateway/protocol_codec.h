#pragma once

#include "base/enum_table.h"
#include "discovery/endpoint_table.h"
#include "http/message.h"
#include "placement/prompt_parts.h"
#include "rollout/order.h"
#include "routing/fleet_configuration.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace carawaylink::gateway {

/// Decoded headers of a caller's request.
struct request_metadata {
    /// Attempt id that the caller chose; empty if absent.
    std::string attempt;
    /// Remaining time until the caller's deadline.
    std::optional<duration> timeLeft;
    std::optional<tokens> prompt;
    /// Maximum output length that the caller accepts.
    std::optional<tokens> outputLimit;
    /// The caller's estimate of the output length.
    std::optional<tokens> outputHint;
    /// Id of the last event that the caller received from this stream.
    std::optional<std::uint64_t> lastEventId;
    /// Attempt that brought the first event of the stream that the caller takes up; empty if it names none.
    std::string resumedAttempt;
    std::string key;
    /// Ids of the prompt's parts that other requests may share, in order; the last part, which is the request's own, is left out.
    std::vector<std::string> sharedParts;
    /// All parts of the prompt with their lengths, in order; empty if a length is missing.
    std::vector<placement::named_part> promptParts;
};

/// Values that the gateway adds to a request when it dispatches it to an endpoint.
struct dispatch_metadata {
    discovery::replica_id replica;
    duration timeLeft {};
    std::optional<team_id> team;
    std::optional<std::uint64_t> lastEventId;
};

/// Which attempt a response names.
enum class response_identity {
    /// The attempt that it was asked for.
    own,
    other,
    none,
};

inline constexpr auto responseIdentityNames = enumTable<response_identity>({
    { response_identity::own, "own" },
    { response_identity::other, "other" },
    { response_identity::none, "none" },
});

/// Decoded headers of an endpoint's response.
struct response_metadata {
    response_identity identity = response_identity::none;
    /// The endpoint did not execute the request and will not execute it later.
    bool notExecuted = false;
    /// A process other than the addressed replica responded; it did not execute the request.
    bool isReplaced = false;
    /// The response carries another attempt id, or a content coding that endpoints do not produce.
    bool isMismatched = false;
    /// Requests per second that the endpoint accepts from all nodes together while it says so.
    std::optional<double> requestLimit;
    /// The endpoint leaves: it accepts nothing new until its process starts again.
    bool isLeaving = false;
    /// Time for which the endpoint, which refused the request, accepts nothing more from this node; zero for none.
    duration rest {};
    /// Rest that cannot be read, as the endpoint wrote it, shortened.
    std::optional<std::string> unreadableRest;
    /// The body is a stream of server-sent events.
    bool isEventStream = false;
};

/// A caller's query for frontend addresses.
struct directory_query {
    std::string host;
    failure_domain domain;
};

enum class store_topic {
    /// The operator's configuration.
    configuration,
    /// Entries that endpoints register about themselves.
    endpoints,
    /// Peer addresses of the fleet's nodes.
    nodes,
    /// Prompt parts that crash endpoints.
    quarantine,
    /// Teams whose usage of their quota a restarted fleet must not take for even.
    quotas,
    /// What has been decided on the operator's orders.
    status,
    /// Base version of each service.
    stream_bases,
    /// Starts of streams at other versions; old records expire.
    stream_starts,
};

struct store_record {
    std::string key;
    /// Absent if the key was deleted.
    std::optional<std::string> value;
    /// Position in the log.
    std::uint64_t offset = 0;
};

/// Answer to an append at a given end of the log.
struct append_result {
    /// False if the log does not end there.
    bool isAppended = false;
    /// End of the log, as far as the answer tells.
    std::optional<std::uint64_t> end;
};

/// A decision on the order to a service.
struct service_status {
    service_id service;
    rollout::status status;
    /// Position of the record in the log.
    std::uint64_t offset = 0;
};

using route_name_source = std::function<std::string(rollout::route_hash)>;

/// One page of the snapshot that holds the newest record of each key.
struct snapshot_page {
    std::vector<store_record> records;
    bool hasMore = false;
    /// Log offset from which reading continues after the snapshot.
    std::uint64_t endOffset = 0;
};

/// Log records starting at the requested offset.
struct log_page {
    std::vector<store_record> records;
    std::uint64_t endOffset = 0;
};

/// Encodes and decodes the external protocols: headers of callers and endpoints, requests to the store and its records. Stateless.
class protocol_codec {
public:
    virtual ~protocol_codec() = default;

    virtual request_metadata decodeRequest(const http_request& request) const = 0;
    virtual std::vector<http_header> endpointHeaders(const http_request& request, const dispatch_metadata& metadata) const = 0;
    virtual response_metadata decodeResponse(const http_response& response, const std::string& attempt) const = 0;
    /// Headers of an endpoint's response that are forwarded to the caller.
    virtual std::vector<http_header> callerHeaders(const http_response& response) const = 0;

    virtual std::optional<directory_query> decodeDirectoryQuery(const http_request& request) const = 0;
    virtual http_response directoryResponse(const std::vector<std::string>& addresses, duration lifetime) const = 0;
    virtual bool isReadinessQuery(const http_request& request) const = 0;

    virtual http_request readSnapshot(store_topic topic, const std::string& afterKey) const = 0;
    virtual http_request readLog(store_topic topic, std::uint64_t from, duration wait) const = 0;
    /// An empty value deletes the key.
    virtual http_request publish(store_topic topic, const std::string& key, const std::string& value) const = 0;
    /// Appends the record only if the log ends at this offset.
    virtual http_request append(store_topic topic, const store_record& record, std::uint64_t at) const = 0;
    /// Throws error(invalid_message) if the response tells neither that the record was appended nor that it was not.
    virtual append_result decodeAppend(const http_response& response) const = 0;
    /// Both throw error(invalid_message) if the body is not a valid page.
    virtual snapshot_page decodeSnapshot(const http_response& response) const = 0;
    virtual log_page decodeLog(const http_response& response) const = 0;
    /// Whether the store does not have the requested offset: it no longer retains it, or its log ends before it.
    virtual bool isOffsetExpired(const http_response& response) const = 0;
    /// First offset that the log retains, if the response says that it does not have the requested one.
    virtual std::optional<std::uint64_t> firstOffset(const http_response& response) const = 0;
    /// Number of the history that the store's log belongs to: it rises when the store comes back from an older copy, and offsets of
    /// different histories cannot be compared. nullopt if the response does not tell.
    virtual std::optional<std::uint64_t> storeHistory(const http_response& response) const = 0;

    /// Returns nullopt for records of other keys; throws error(invalid_message) for an invalid configuration.
    virtual std::optional<routing::fleet_configuration> decodeConfiguration(const store_record& record) const = 0;
    /// An operator's order with the record's offset plus one as its number, or with its fault. nullopt for records of other keys.
    virtual std::optional<rollout::order> decodeOrder(const store_record& record) const = 0;
    /// nullopt for records of other keys; throws error(invalid_message) for an invalid status.
    virtual std::optional<service_status> decodeStatus(const store_record& record) const = 0;
    virtual store_record encodeStatus(const service_status& status, const route_name_source& routeName) const = 0;
    /// Throws error(invalid_message) if the entry does not describe a usable endpoint.
    virtual discovery::registry_change decodeEndpoint(const store_record& record) const = 0;
};

} // namespace carawaylink::gateway
