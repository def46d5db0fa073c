#pragma once

#include "base/ids.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace carawaylink::gateway {

class protocol_codec;

struct gateway_settings {
    std::string nodeName;
    failure_domain domain;
    /// Addresses "ip:port" to listen on.
    std::string frontendAddress;
    std::string readinessAddress;
    std::string directoryAddress;
    std::string peerAddress;
    /// Empty for no metrics.
    std::string metricsAddress;
    /// Peer addresses of other nodes that may be stale.
    std::vector<std::string> seeds;
    std::string storeAddress;
    /// The whole fleet starts for the first time.
    bool isFirstStart = false;
    /// Repeats that the fleet may add per request of a service, and besides, in a window.
    double retryRatio = 0.2;
    double retrySlack = 50;
    duration retryWindow = std::chrono::seconds(10);
    /// Quotas of the teams bound what they use in any window of this length.
    duration quotaWindow = std::chrono::seconds(8);
    /// Time from SIGTERM until the process is killed.
    duration stopGracePeriod = std::chrono::seconds(8);
    /// Connections of callers at once; more are closed unread.
    std::size_t maxCallerConnections = 4000;
    /// Longest lifetime of a directory answer that callers heed.
    duration directoryTtl = std::chrono::seconds(2);
};

/// One node of the fleet in front of plain services and model engines: serves callers, the directory and readiness, follows the
/// store and tells its peers its state.
class gateway_node {
public:
    gateway_node(gateway_settings settings, std::shared_ptr<const protocol_codec> codec);
    ~gateway_node();
    gateway_node(const gateway_node&) = delete;
    gateway_node& operator=(const gateway_node&) = delete;

    /// Starts to listen; throws error(unavailable) where an address is taken.
    void start();
    /// Takes no new callers and ends what runs. Safe from any thread.
    void drain();
    /// Returns once everything has ended, or the grace period has nearly passed, after drain().
    void waitUntilStopped();

    struct implementation;

private:
    std::unique_ptr<implementation> m_implementation;
};

} // namespace carawaylink::gateway
