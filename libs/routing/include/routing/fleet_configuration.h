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
    /// Relative to the other destinations of the route.
    std::uint32_t weight = 1;
};

/// What the operator says of the requests on one path.
struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    std::vector<weighted_service> services;
    /// May be sent to an endpoint again after it may have run.
    bool idempotent = false;
    /// Answered with a series of events.
    bool streaming = false;
    /// A stream may continue at another endpoint after the last event that was delivered.
    bool resumable = false;
    /// Needs no key.
    bool isPublic = false;
    /// Most endpoints that one request may be sent to.
    unsigned maxAttempts = 1;
    /// Longest time until the end of the response; zero where the route has none.
    duration timeout {};
    /// Time to the response, or to the first event, within which it is worth most; zero where the route has none.
    duration latencyTarget {};
    /// Longest pause between events of a response that is in time; zero where the route has none.
    duration maxEventGap {};
    carawaylink::tier tier { 0 };

    /// True where a request may be sent again after it may have run.
    bool isSafeToRetry() const { return idempotent || (streaming && resumable); }
};

/// Capacity of the model engines of a service.
struct engine_limits {
    unsigned slots = 0;
    tokens cacheCapacity { 0 };
    /// Output tokens in one event of a stream.
    unsigned tokensPerEvent = 1;
};

struct service_definition {
    service_id name;
    std::string healthPath;
    unsigned maxConnections = 0;
    /// Present where the endpoints are model engines.
    std::optional<engine_limits> engine;
};

/// Bounds of what callers may send.
struct caller_limits {
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = 4U << 20;
    duration headerTimeout = std::chrono::seconds(3);
    duration idleTimeout = std::chrono::seconds(15);
};

struct team_definition {
    team_id name;
    std::vector<std::string> keys;
    /// Goes before the tier of the route.
    std::optional<carawaylink::tier> tier;
    /// Units per second over the whole fleet; zero for no limit.
    double ratePerSecond = 0;
    double burst = 0;
    /// Units are tokens; requests otherwise.
    bool unitsAreTokens = false;
    /// Units of a request that states no token counts.
    double defaultUnits = 1;
};

/// One complete version of the operator's configuration.
struct fleet_configuration {
    config_version version;
    std::vector<route> routes;
    std::vector<service_definition> services;
    caller_limits limits;
    /// Empty where requests need no key.
    std::vector<team_definition> teams;
};

} // namespace carawaylink::routing
