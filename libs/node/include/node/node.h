#pragma once

#include "settings/generated/settings_generated.h"

#include <memory>
#include <string>

namespace carawaylink {

/// One carawaylinkd process: callers' front, scheduler, membership, configuration.
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
    /// Addresses in use, with the ports that were chosen for port 0.
    std::string httpAddress() const;
    std::string nodeAddress() const;

    /// Begins a graceful stop: leaves the entry addresses, finishes every request, then stops. Safe from any thread.
    void drain();
    /// Returns when the graceful stop is complete or its time limit has passed; false in the latter case.
    bool waitUntilStopped();

    struct implementation;

private:
    std::unique_ptr<implementation> m_implementation;
};

} // namespace carawaylink
