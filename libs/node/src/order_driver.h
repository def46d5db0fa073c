#pragma once

#include "http/client.h"
#include "mesh/periodic_task.h"
#include "orders/order_lease.h"
#include "orders/permit_table.h"
#include "orders/reconciler.h"
#include "platform_log.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace carawaylink {

struct order_driver_settings {
    std::string logAddress;
    duration statePollInterval = std::chrono::seconds(5);
    order_lease_settings lease;
    permit_settings permits;
    reconciler_settings reconciling;
};

/// Drives the engines of services whose pool 0 this node owns to the configured state. Appends to the log stream "orders" only while
/// orders are due. Runs on the control thread.
class order_driver {
public:
    /// A service for which this node sends orders.
    struct owned_service {
        desired_engine desired;
        bool ignoresFencing = false;
        /// Maximum number of concurrent model loads in the whole fleet.
        std::size_t weightStoreLoads = 1;
        /// Endpoints of the service; true for endpoints that are leaving.
        std::map<endpoint_id, bool> endpoints;
    };
    using owned_services = std::function<std::map<service_id, owned_service>()>;

    order_driver(boost::asio::io_context& context, order_holder self, order_driver_settings settings, owned_services owned);
    ~order_driver();

    /// Status of the orders of the owned services, sorted by endpoint.
    std::vector<reconciler::order_status> orders() const;

private:
    struct state_poll {
        bool inProgress = false;
        monotonic_time started {};
        monotonic_time next {};
    };
    struct service_entry {
        owned_service definition;
        bool owned = false;
        bool hasDueOrders = false;
        /// The last logged state of the lease was held.
        bool leaseHeldLogged = false;
        reconciler orders;
        std::map<endpoint_id, state_poll> polls;
        /// Claims of model loads in progress, by endpoint.
        std::map<endpoint_id, std::string> loadClaims;
    };

    void tick();
    void updateOwnedServices();
    void advance(monotonic_time now, const service_id& service, service_entry& entry);
    void logLeaseChange(monotonic_time now, const service_id& service, service_entry& entry, bool released);
    order_lease& leaseOf(const service_id& service);

    void pollStates(monotonic_time now, const service_id& service, service_entry& entry);
    void handleStateResult(const service_id& service, const endpoint_id& endpoint, monotonic_time started, const http_result& result);
    void sendOrder(const service_id& service, const reconciler::next_order& order, log_offset fence);
    void handleOrderResult(const service_id& service, const reconciler::next_order& order, const http_result& result);
    void finishEndedLoads(service_entry& entry);

    void read();
    void handleReadResult(monotonic_time started, const http_result& result);
    void applyPage(monotonic_time started, const log_page& page, bool truncated);
    void append(const order_record& record);

    order_holder m_self;
    order_driver_settings m_settings;
    owned_services m_owned;
    http_client m_client;
    std::map<service_id, service_entry> m_services;
    /// Leases of all services in the stream.
    std::map<service_id, order_lease> m_leases;
    permit_table m_permits;
    log_offset m_next;
    bool m_reading = false;
    bool m_logFailed = false;
    bool m_endReached = false;
    /// A service has orders due or in progress, or this node holds a lease or claims.
    bool m_active = false;
    monotonic_time m_nextRead {};
    std::size_t m_pollsInProgress = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    periodic_task m_task;
};

} // namespace carawaylink
