#pragma once

#include "settings/generated/settings_generated.h"

#include <memory>
#include <string>

namespace carawaylink {

/// One carawaylinkd process: HTTP frontend, scheduler, cluster membership and configuration. This node serves the product's own
/// interface (OpenAI-compatible API); gateway::gateway_node serves the users' platform (`carawaylinkd platform`). Each has a scheduler
/// of its own.
///
///     node daemon(settings);
///     daemon.start();
///     ... daemon.drain(); daemon.waitUntilStopped();
class node {
public:
    explicit node(const schema::daemon_settingsT& settings);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// Binds all addresses and joins the cluster. Throws error(unavailable).
    void start();
    /// Bound HTTP address; port 0 in the settings is replaced by the port that was assigned.
    std::string httpAddress() const;
    /// Address of the node for its peers, with the assigned port.
    std::string nodeAddress() const;

    /// Begins a graceful stop: withdraws from the entry addresses, finishes all running requests, then stops. Thread-safe.
    void drain();
    /// Blocks until the graceful stop ends. Returns false if its time limit passed before all requests were finished.
    bool waitUntilStopped();

    struct implementation;

private:
    std::unique_ptr<implementation> m_implementation;
};

} // namespace carawaylink
