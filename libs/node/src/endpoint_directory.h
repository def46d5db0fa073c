#pragma once

#include "base/ids.h"
#include "http/client.h"
#include "scheduling/types.h"

#include <boost/json/object.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace carawaylink {

struct directory_endpoint {
    service_id service;
    endpoint_description description;
    /// Its own description was read, or it is a plain service.
    bool described = false;
    bool leaving = false;
    /// Successive answers of the list of vms without this endpoint.
    std::size_t missing = 0;
    monotonic_time nextDescribe {};
};

struct endpoint_directory_settings {
    std::string vmListAddress;
    duration pollInterval = std::chrono::milliseconds(500);
};

/// Follows the lagging list of vms. An endpoint that is missing from some answers stays until it is missing from several in a
/// row; one that is seen leaving is leaving at once and for good. Runs on one event loop.
class endpoint_directory {
public:
    struct handlers {
        std::function<void()> onChange;
        std::function<void(const endpoint_id&)> onLeaving;
        std::function<void(const std::vector<node_id>&)> onNodes;
    };

    endpoint_directory(boost::asio::io_context& context, endpoint_directory_settings settings, handlers callbacks);
    ~endpoint_directory();

    void start();
    /// Which services are plain; their endpoints need no description of their own.
    void setPlainServices(std::set<service_id> services);
    /// Another sign says that the endpoint leaves: a refusal or a load report.
    void markLeaving(const endpoint_id& endpoint);
    const std::map<endpoint_id, directory_endpoint>& endpoints() const { return m_endpoints; }
    std::set<endpoint_id> leaving() const;

private:
    void poll();
    void apply(const std::string& body);
    /// Reads a JSON object from an endpoint; nothing is called where that fails or the endpoint is gone meanwhile.
    void fetch(const endpoint_id& endpoint, const std::string& target,
        std::function<void(directory_endpoint&, const boost::json::object&)> handle);
    void describe(const endpoint_id& endpoint);
    /// Completes the description: an endpoint may be leaving already when this node first sees it.
    void readLoad(const endpoint_id& endpoint);

    boost::asio::io_context& m_context;
    endpoint_directory_settings m_settings;
    handlers m_handlers;
    http_client m_client;
    std::set<service_id> m_plainServices;
    std::map<endpoint_id, directory_endpoint> m_endpoints;
    bool m_polling = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    std::unique_ptr<class periodic_task> m_task;
};

} // namespace carawaylink
