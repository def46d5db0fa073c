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
    /// The endpoint's own description was read; always true for endpoints of plain services.
    bool described = false;
    bool leaving = false;
    /// Number of successive polls of the vm list that did not contain this endpoint.
    std::size_t missedPolls = 0;
    monotonic_time nextDescribeTime {};
};

struct endpoint_directory_settings {
    std::string vmListAddress;
    duration pollInterval = std::chrono::milliseconds(500);
};

/// Tracks the endpoints in the list of vms, which may lag and omit live entries. An endpoint is removed only after it was missing
/// from several successive polls. The leaving state takes effect immediately and is permanent. Runs on one event loop.
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
    /// Sets the plain services, whose endpoints provide no description of their own.
    void setPlainServices(std::set<service_id> services);
    /// Marks an endpoint as leaving after another source reported it: a refusal or a load report.
    void markLeaving(const endpoint_id& endpoint);
    const std::map<endpoint_id, directory_endpoint>& endpoints() const { return m_endpoints; }
    std::set<endpoint_id> leaving() const;

private:
    void poll();
    void applyVmList(const std::string& body);
    /// Fetches a JSON object from an endpoint. The handler is not called if that fails or the endpoint was removed meanwhile.
    void fetchObject(const endpoint_id& endpoint, const std::string& target,
        std::function<void(directory_endpoint&, const boost::json::object&)> handle);
    void describe(const endpoint_id& endpoint);
    /// Completes the description with the load report, since an endpoint may already be leaving when this node first sees it.
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
