#pragma once

#include "discovery/endpoint_table.h"
#include "prompt_quarantine.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>

namespace carawaylink::gateway {

/// Requests whose connections to an endpoint were lost.
struct lost_requests {
    /// Shared prompt parts of those that it had not begun to answer.
    prompt_quarantine::parts unansweredParts;
    /// Identities of all.
    prompt_quarantine::parts requests;
};

/// Tells endpoints that ended from lost connections to endpoints that go on, and collects the requests that were lost. Runs on one event
/// loop.
class crash_detector {
public:
    using crash_handler = std::function<void(const discovery::replica_id& replica, const service_id& service, const lost_requests& lost)>;

    crash_detector(boost::asio::io_context& context, crash_handler onCrash);

    /// The connection of a request was lost before its answer was complete.
    void recordLoss(const discovery::replica_id& replica, const endpoint_id& address, const service_id& service, const lost_requests& lost);

private:
    struct suspected_crash {
        service_id service;
        lost_requests lost;
    };

    boost::asio::io_context& m_context;
    crash_handler m_onCrash;
    /// Endpoints that are being probed.
    std::map<discovery::replica_id, suspected_crash> m_suspected;
    /// Expires with this object, before the work that the event loop still holds.
    std::shared_ptr<crash_detector*> m_alive;
};

} // namespace carawaylink::gateway
