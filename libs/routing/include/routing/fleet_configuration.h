#pragma once

#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace carawaylink::routing {

/// A destination of a route and its share of the route's requests.
struct weighted_service {
    service_id service;
    /// Relative to the weights of the other destinations of the route.
    std::uint32_t weight = 1;
};

/// Operator configuration of the requests under one host and path prefix.
struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    std::vector<weighted_service> services;
    /// May be retried even if an earlier attempt may have been executed.
    bool idempotent = false;
    /// The response is an event stream.
    bool streaming = false;
    /// A stream may resume at another endpoint after the last delivered event.
    bool resumable = false;
    /// Requires no API key.
    bool isPublic = false;
    /// Maximum number of endpoints that one request may be sent to.
    unsigned maxAttempts = 1;
    /// Maximum time until the end of the response; zero for no limit.
    duration timeout {};
    /// Target time to the response, or to the first event of a stream; zero for no target.
    duration latencyTarget {};
    /// Maximum gap between events of a stream that meets the target; zero for no limit.
    duration maxEventGap {};
    carawaylink::tier tier { 0 };

    /// True if a request may be retried after it may have been executed.
    bool isSafeToRetry() const { return idempotent || (streaming && resumable); }
    /// True if a stream that has begun may go on at another endpoint.
    bool mayGoOnElsewhere() const { return streaming && isSafeToRetry(); }
};

/// Capacity of the model engines of a service.
struct engine_limits {
    unsigned slots = 0;
    tokens cacheCapacity { 0 };
    /// Output tokens per stream event.
    unsigned tokensPerEvent = 1;
};

struct service_definition {
    service_id name;
    std::string healthPath;
    unsigned maxConnections = 0;
    /// Set if the endpoints are model engines.
    std::optional<engine_limits> engine;
};

/// Limits on requests of callers.
struct caller_limits {
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = 4U << 20;
    duration headerTimeout = std::chrono::seconds(3);
    duration idleTimeout = std::chrono::seconds(15);
};

struct team_definition {
    team_id name;
    std::vector<std::string> keys;
    /// Compared before the route's tier.
    std::optional<carawaylink::tier> tier;
    /// Units per second over the whole fleet; zero for no limit.
    double ratePerSecond = 0;
    double burst = 0;
    /// Units are tokens if true, requests otherwise.
    bool unitsAreTokens = false;
    /// Units charged to a request without token counts.
    double defaultUnits = 1;
};

/// One complete version of the operator's configuration.
struct fleet_configuration {
    config_version version;
    std::vector<route> routes;
    std::vector<service_definition> services;
    caller_limits limits;
    /// If empty, requests need no API key.
    std::vector<team_definition> teams;
};

} // namespace carawaylink::routing
