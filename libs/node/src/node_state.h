#pragma once

#include "config_follower.h"
#include "dispatch_control.h"
#include "endpoint_directory.h"
#include "endpoint_monitor.h"
#include "fleet_view.h"
#include "history.h"
#include "http/server.h"
#include "mesh/membership_transport.h"
#include "metrics.h"
#include "node/node.h"
#include "order_driver.h"
#include "peer_mesh.h"
#include "pool_manager.h"
#include "request_frontend.h"
#include "scheduling/retry_budget.h"
#include "scheduling/team_rate_limit.h"
#include "ticket_service.h"
#include "usage_publisher.h"

#include <atomic>
#include <future>
#include <mutex>

namespace carawaylink {

/// All components of a node. Components other than the HTTP frontend run on the control thread.
struct node::implementation {
    explicit implementation(const schema::daemon_settingsT& values);
    ~implementation();

    void start();
    void postToControlThread(std::function<void()> work) { control.post(0, std::move(work)); }

    /// Blocks until the list of vms can be read. Without it a node would own pools without endpoints and refuse all their requests.
    void awaitVmList();

    // Construction and connection of the components, mostly in node_wiring.cpp.
    void startMesh();
    void startScheduling();
    void configureDirectPlacement();
    void startConfiguration();
    void startOrders();
    void startFrontend();
    control_interface makeControlInterface();
    void receive(const peer_identity& from, wire::envelopeT& envelope);

    // Updates after changes of members, configuration or endpoints.
    void memberChanged(const member_changed& change);
    void scheduleViewUpdate();
    void updateView();
    void refreshConfigured(std::chrono::sys_seconds utc);
    std::vector<member_update> liveMembers() const;

    void acquire(dispatch_request request, std::size_t thread, dispatch_callback callback);
    http_response entry(const team_id& team, std::size_t tickets);
    void beginDrain();
    void continueDrain();
    void finishDrain(bool complete);
    void updateGauges();

    // Operator interface, in admin_interface.cpp.
    using admin_callback = std::function<void(http_response)>;
    void admin(const http_request& request, admin_callback callback);
    http_response statusPage();
    http_response explainPage(const std::string& request);
    void appendConfig(const http_request& request, const admin_callback& callback);
    http_response configResult(const std::string& id, const std::optional<config_result>& result) const;
    void usagePage(const admin_callback& callback);
    http_response ordersPage();

    schema::daemon_settingsT settings;
    process_identity self;
    io_threads control { 1 };
    io_threads frontendThreads;
    history eventHistory;
    metrics metricsRegistry;
    rcu_cell<std::shared_ptr<const fleet_view>> view;

    std::string httpAddress;
    std::unique_ptr<peer_mesh> mesh;
    std::unique_ptr<membership_transport> membership;
    std::unique_ptr<ticket_service> tickets;
    std::unique_ptr<pool_manager> poolManager;
    std::unique_ptr<dispatch_control> dispatch;
    std::unique_ptr<endpoint_directory> directory;
    std::unique_ptr<endpoint_monitor> monitor;
    std::unique_ptr<config_follower> config;
    std::unique_ptr<usage_publisher> usage;
    std::unique_ptr<order_driver> orders;
    std::unique_ptr<request_frontend> frontend;
    std::unique_ptr<http_server> server;
    /// View built from the configuration alone, valid until configuredUntil, when the next exception expires.
    fleet_view configured;
    std::chrono::sys_seconds configuredUntil {};
    team_rate_limit rateLimit;
    /// Guards retryBudgets, which frontend threads use too.
    std::mutex retryMutex;
    std::map<service_id, retry_budget> retryBudgets;
    std::set<node_id> drainingPeers;
    std::map<node_id, incarnation> knownIncarnations;
    std::vector<std::unique_ptr<periodic_task>> tasks;
    std::atomic<bool> ready = false;
    bool viewUpdatePending = false;
    bool draining = false;
    bool closed = false;
    monotonic_time closeTime {};
    monotonic_time drainDeadline {};
    std::promise<bool> stopped;
    bool stopReported = false;
};

} // namespace carawaylink
