#pragma once

#include "base/enum_table.h"
#include "base/ids.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace carawaylink {

enum class order_kind {
    load_model,
    load_adapter,
    set_version,
    set_role,
};

inline constexpr auto orderKindNames = enumTable<order_kind>({
    { order_kind::load_model, "load_model" },
    { order_kind::load_adapter, "load_adapter" },
    { order_kind::set_version, "set_version" },
    { order_kind::set_role, "set_role" },
});

enum class order_state {
    pending,
    sent,
    done,
    failed,
};

inline constexpr auto orderStateNames = enumTable<order_state>({
    { order_state::pending, "pending" },
    { order_state::sent, "sent" },
    { order_state::done, "done" },
    { order_state::failed, "failed" },
});

struct engine_order_change {
    order_kind kind = order_kind::load_model;
    std::string name;

    friend auto operator<=>(const engine_order_change&, const engine_order_change&) = default;
};

/// Configured state of every engine of a service.
struct desired_engine {
    std::vector<std::string> models;
    std::vector<std::string> adapters;
    /// Not changed if empty.
    std::string version;
    /// Not changed if empty.
    std::string role;

    friend bool operator==(const desired_engine&, const desired_engine&) = default;
};

/// State reported by an engine.
struct observed_engine {
    std::vector<std::string> models;
    std::vector<std::string> adapters;
    std::string version;
    std::string role;
};

/// Returns the changes that turn the observed into the desired state, in the sequence in which they are sent.
std::vector<engine_order_change> findMissingChanges(const desired_engine& desired, const observed_engine& observed);

struct reconciler_settings {
    /// After this time an order without a response can no longer take effect.
    duration maxOrderDuration = std::chrono::seconds(60);
    /// Delay after the first failure; doubled after each further one.
    duration initialRetryDelay = std::chrono::seconds(1);
    duration maxRetryDelay = std::chrono::seconds(60);
    /// At most one in this many engines of a service, but at least one, is changed at a time.
    std::size_t rolloutDivisor = 4;
    /// How long a completed order stays in the status.
    duration statusRetention = std::chrono::minutes(10);
};

enum class order_outcome {
    done,
    /// The engine did not execute the order.
    failed,
    /// The order certainly did not reach the engine.
    not_sent,
    /// The order may still take effect.
    unknown,
};

/// Chooses the orders for the engines of one service. Each engine has at most one active order; it gets the next one only after its
/// state was read again.
class reconciler {
public:
    explicit reconciler(reconciler_settings settings = {});

    void setDesired(desired_engine desired);
    /// Sets the endpoints of the service; true for endpoints that are leaving.
    void setEndpoints(const std::map<endpoint_id, bool>& endpoints);
    /// Records an engine's state, read by a call started at readStarted. Returns the order with a lost response that the state
    /// confirms as done.
    std::optional<engine_order_change> observe(
        monotonic_time now, const endpoint_id& endpoint, monotonic_time readStarted, observed_engine state);
    /// Handles a failed read of an engine's state: the engine gets no orders until a read succeeds.
    void handleUnreachable(const endpoint_id& endpoint);
    /// Fails orders with a lost response that can no longer take effect.
    void expireOrders(monotonic_time now);

    struct due_orders {
        /// Orders are due now or soon.
        bool any = false;
        /// A model load could start now if a permit is available.
        bool modelLoad = false;
    };
    due_orders dueOrders(monotonic_time now) const;
    /// Whether an order may still take effect.
    bool hasActiveOrders() const;

    struct next_order {
        endpoint_id endpoint;
        engine_order_change change;
    };
    /// Returns the next order to send, based only on states read at or after minObservationTime.
    std::optional<next_order> nextOrder(monotonic_time now, monotonic_time minObservationTime, bool canLoadModel) const;
    void recordSent(monotonic_time now, const next_order& order, log_offset fence);
    void recordOutcome(monotonic_time now, const endpoint_id& endpoint, order_outcome outcome, const std::string& message);
    /// Whether the engine has an order that may still take effect.
    bool hasActiveOrder(const endpoint_id& endpoint) const;
    /// Whether the engine has no state that was read at or after the time.
    bool needsObservation(const endpoint_id& endpoint, monotonic_time time) const;

    struct order_status {
        endpoint_id endpoint;
        engine_order_change change;
        order_state state = order_state::pending;
        std::optional<log_offset> fence;
        std::string message;
    };
    std::vector<order_status> status() const;

private:
    struct order_entry {
        order_state state = order_state::pending;
        std::optional<log_offset> fence;
        std::string message;
        std::size_t failures = 0;
        monotonic_time retryAt {};
        monotonic_time changedAt {};
    };
    struct active_order {
        engine_order_change change;
        monotonic_time sentAt;
        /// The response was lost.
        bool unknown = false;
    };
    struct engine_entry {
        bool leaving = false;
        std::optional<observed_engine> observed;
        monotonic_time observedAt {};
        /// Time at which the last order that reached the engine ended.
        std::optional<monotonic_time> lastOrderEnd;
        std::optional<active_order> active;
        std::vector<engine_order_change> missing;
        std::map<engine_order_change, order_entry> orders;

        bool isBeingChanged() const { return active || (lastOrderEnd && observedAt < *lastOrderEnd); }
    };

    /// Whether one more engine may be changed concurrently.
    bool canChangeEngine() const;
    void endOrder(monotonic_time now, engine_entry& engine, order_state state, const std::string& message, bool reachedEngine);
    void recordFailure(monotonic_time now, order_entry& entry, const std::string& message) const;
    void updateOrders(monotonic_time now, engine_entry& engine);
    bool isDue(const engine_entry& engine, const engine_order_change& change, monotonic_time at) const;

    reconciler_settings m_settings;
    desired_engine m_desired;
    std::map<endpoint_id, engine_entry> m_engines;
};

} // namespace carawaylink
