#pragma once

#include "http/client.h"
#include "mesh/periodic_task.h"
#include "scheduling/placement_policy.h"
#include "scheduling/types.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace carawaylink {

/// Polls the load reports and cache events of engines. Runs on the control thread.
class endpoint_monitor {
public:
    struct handlers {
        /// Returns the endpoints to poll.
        std::function<std::vector<endpoint_id>()> endpoints;
        std::function<void(const load_report&)> onLoad;
        std::function<void(const std::vector<cache_event>&)> onCacheEvents;
    };

    endpoint_monitor(boost::asio::io_context& context, duration interval, bool followCache, handlers callbacks);
    ~endpoint_monitor();

    /// Polls all endpoints that have no poll in progress.
    void poll();
    /// Last load report of an endpoint, for the baseline policies; zeros before the first report.
    load_report lastReport(const endpoint_id& endpoint) const;

private:
    struct polled_endpoint {
        bool loadPollActive = false;
        bool cachePollActive = false;
        std::uint64_t nextEvent = 0;
        load_report report;
    };

    void pollLoad(const endpoint_id& endpoint, polled_endpoint& state);
    void pollCache(const endpoint_id& endpoint, polled_endpoint& state);

    http_client m_client;
    bool m_followCache;
    handlers m_handlers;
    std::map<endpoint_id, polled_endpoint> m_polled;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    periodic_task m_task;
};

} // namespace carawaylink
