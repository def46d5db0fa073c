#pragma once

#include "http/client.h"
#include "orders/order_lease.h"
#include "orders/permit_table.h"
#include "orders/reconciler.h"
#include "periodic_task.h"
#include "platform_log.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace carawaylink {

struct order_driver_settings {
    std::string logAddress;
    duration statePoll = std::chrono::seconds(5);
    order_lease_settings lease;
    permit_settings permits;
    reconciler_settings reconciling;
};

/// Brings the engines of the services whose pool 0 this node owns to the configured state. Writes to the log stream "orders"
/// only while orders are due. Runs on the control thread.
class order_driver {
public:
    /// A service for which this node gives orders.
    struct owned_service {
        desired_engine desired;
        bool ignoresFencing = false;
        /// Model loads at a time over the whole fleet.
        std::size_t weightStoreLoads = 1;
        /// True for endpoints that leave.
        std::map<endpoint_id, bool> endpoints;
    };
    using owned_services = std::function<std::map<service_id, owned_service>()>;

    order_driver(boost::asio::io_context& context, order_holder self, order_driver_settings settings, owned_services owned);
    ~order_driver();

    /// Orders of the owned services, by endpoint.
    std::vector<reconciler::order_status> orders() const;

private:
    struct state_poll {
        bool running = false;
        monotonic_time started {};
        monotonic_time next {};
    };
    struct service_entry {
        owned_service definition;
        bool owned = false;
        /// Orders are due.
        bool wanted = false;
        /// The lease was reported as taken.
        bool announced = false;
        reconciler orders;
        std::map<endpoint_id, state_poll> polls;
        /// Claims of loads that are out, by endpoint.
        std::map<endpoint_id, std::string> loads;
    };

    void tick();
    void takeOwned();
    void advance(monotonic_time now, const service_id& service, service_entry& entry);
    void announceLease(monotonic_time now, const service_id& service, service_entry& entry, bool released);
    order_lease& leaseOf(const service_id& service);

    void pollStates(monotonic_time now, const service_id& service, service_entry& entry);
    void stateRead(const service_id& service, const endpoint_id& endpoint, monotonic_time started, const http_result& result);
    void sendOrder(const service_id& service, const reconciler::next_order& order, log_offset fence);
    void orderEnded(const service_id& service, const reconciler::next_order& order, const http_result& result);
    void endLoads(service_entry& entry);

    void read();
    void readEnded(monotonic_time started, const http_result& result);
    void applyPage(monotonic_time started, const log_page& page, bool truncated);
    void append(const order_record& record);

    order_holder m_self;
    order_driver_settings m_settings;
    owned_services m_owned;
    http_client m_client;
    std::map<service_id, service_entry> m_services;
    /// Of all services in the stream.
    std::map<service_id, order_lease> m_leases;
    permit_table m_permits;
    log_offset m_next;
    bool m_reading = false;
    bool m_logFailed = false;
    bool m_atEnd = false;
    /// Some service has orders due or out.
    bool m_active = false;
    monotonic_time m_nextRead {};
    std::size_t m_runningPolls = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    periodic_task m_task;
};

} // namespace carawaylink
