#pragma once

#include "membership/failure_detector.h"
#include "mesh/traffic_counters.h"
#include "ticket/ticket.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace carawaylink {

/// Sends and receives the failure detector's datagrams over UDP, authenticated with the cluster keys. Runs on one event loop.
class membership_transport {
public:
    using change_handler = std::function<void(const member_changed&)>;

    membership_transport(boost::asio::io_context& context, std::string cluster, std::vector<key_ring::key> keys, change_handler onChange);
    ~membership_transport();

    /// Binds "ip:port" and starts the detector for self. Throws error(unavailable).
    void start(const std::string& address, member_update self, failure_detector_settings settings);
    void addSeeds(const std::vector<node_id>& seeds);
    void setDraining();
    void setConfigVersion(config_version version);
    /// Announces the address at which this process now accepts callers.
    void setHttpAddress(const std::string& address);
    void confirmDead(const process_identity& process);
    void leave();

    const member_update& self() const;
    std::vector<member_update> members() const;
    const traffic_counters& sent() const;
    const traffic_counters& received() const;

    struct implementation;

private:
    std::shared_ptr<implementation> m_implementation;
};

} // namespace carawaylink
