#pragma once

#include "base/ids.h"
#include "rollout/exposure.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace carawaylink::gateway {

class protocol_codec;

struct gateway_settings {
    std::string nodeName;
    failure_domain domain;
    /// Listen addresses as "ip:port".
    std::string frontendAddress;
    std::string readinessAddress;
    std::string directoryAddress;
    std::string peerAddress;
    /// Empty disables the metrics endpoint.
    std::string metricsAddress;
    /// Peer addresses of other nodes; may be stale.
    std::vector<std::string> seeds;
    std::string storeAddress;
    /// Rate at which the store answers the reads of all nodes together; 0 if unknown.
    double storeReadBytesPerSecond = 0;
    /// The whole fleet starts for the first time, so that all quotas are unused.
    bool isFirstStart = false;
    /// Retry budget of the fleet per service and window: retryRatio retries per request plus retrySlack.
    double retryRatio = 0.2;
    double retrySlack = 50;
    duration retryWindow = std::chrono::seconds(10);
    /// Length of the sliding window of the team quotas.
    duration quotaWindow = std::chrono::seconds(8);
    /// Time between SIGTERM and SIGKILL.
    duration stopGracePeriod = std::chrono::seconds(8);
    /// Limit of concurrent caller connections; further ones are closed without being read.
    std::size_t maxCallerConnections = 4000;
    /// Limit of the bytes of messages that are incomplete or not sent yet, to all callers, endpoints, peers and the store together.
    std::size_t maxMessageBytes = 64U << 20;
    /// Processor capacity of this vm in thousandths of a core; 0 if unknown.
    unsigned processorCapacity = 0;
    /// TTL of directory responses, at most the longest that callers honor.
    duration directoryTtl = std::chrono::seconds(1);
    /// Set if orders of roll-outs are in force.
    std::optional<rollout::exposure_bound> rollouts;
};

/// A node of the fleet that schedules requests to plain services and model engines: serves callers, directory queries and readiness
/// probes, follows the store and reports its state to its peers. It is the node of `carawaylinkd platform`, which dispatches requests by
/// routes; libs/node implements the node with the OpenAI-compatible API. Each has a scheduler of its own.
class gateway_node {
public:
    gateway_node(gateway_settings settings, std::shared_ptr<const protocol_codec> codec);
    ~gateway_node();
    gateway_node(const gateway_node&) = delete;
    gateway_node& operator=(const gateway_node&) = delete;

    /// Starts listening; throws error(unavailable) if an address is in use.
    void start();
    /// Stops accepting callers and finishes active requests. Thread-safe.
    void drain();
    /// Blocks until, after drain(), all requests have finished or the grace period has nearly elapsed.
    void waitUntilStopped();

    struct implementation;

private:
    std::unique_ptr<implementation> m_implementation;
};

} // namespace carawaylink::gateway
