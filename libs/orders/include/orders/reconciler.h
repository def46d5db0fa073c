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

inline constexpr auto orderKindTexts = enumTable<order_kind>({
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

/// What the configuration wants of every engine of a service.
struct desired_engine {
    std::vector<std::string> models;
    std::vector<std::string> adapters;
    /// Empty: left alone.
    std::string version;
    std::string role;

    friend bool operator==(const desired_engine&, const desired_engine&) = default;
};

/// What an engine reports.
struct observed_engine {
    std::vector<std::string> models;
    std::vector<std::string> adapters;
    std::string version;
    std::string role;
};

/// The orders that turn the observed into the desired state, in the order in which they are given.
std::vector<engine_order_change> difference(const desired_engine& desired, const observed_engine& observed);

struct reconciler_settings {
    /// After this time an order without an answer has no effect any more.
    duration maxOrderDuration = std::chrono::seconds(60);
    /// Pause after a failure, doubled for each further one.
    duration initialRetryDelay = std::chrono::seconds(1);
    duration maxRetryDelay = std::chrono::seconds(60);
    /// One in this many engines of a service is changed at a time, and at least one.
    std::size_t rolloutDivisor = 4;
    /// How long a finished order is shown.
    duration statusRetention = std::chrono::minutes(10);
};

enum class order_outcome {
    done,
    /// The engine did not carry it out.
    failed,
    /// It certainly did not reach the engine.
    not_sent,
    /// It may still take effect.
    unknown,
};

/// Chooses the orders for the engines of one service. At most one order is out per engine; an engine is changed further only
/// after its state was read again.
class reconciler {
public:
    explicit reconciler(reconciler_settings settings = {});

    void setDesired(desired_engine desired);
    /// All endpoints of the service; true for those that leave.
    void setEndpoints(const std::map<endpoint_id, bool>& endpoints);
    /// An engine's state, read by a call that was started then. Returns the order with a lost answer that it shows as done.
    std::optional<engine_order_change> observe(
        monotonic_time now, const endpoint_id& endpoint, monotonic_time readStarted, observed_engine state);
    /// The engine's state could not be read: it gets no orders until it is.
    void handleUnreachable(const endpoint_id& endpoint);
    /// Ends the wait for orders whose effect can no longer come.
    void expireOrders(monotonic_time now);

    struct due_orders {
        /// Orders are due now or soon.
        bool any = false;
        /// A model load could start now if there is a permit.
        bool modelLoad = false;
    };
    due_orders dueOrders(monotonic_time now) const;
    /// True while an order may still take effect.
    bool hasActiveOrders() const;

    struct next_order {
        endpoint_id endpoint;
        engine_order_change change;
    };
    /// The next order to send; uses only states that were read after usableSince.
    std::optional<next_order> nextOrder(monotonic_time now, monotonic_time minObservationTime, bool mayLoad) const;
    void recordSent(monotonic_time now, const next_order& order, log_offset fence);
    void recordOutcome(monotonic_time now, const endpoint_id& endpoint, order_outcome outcome, const std::string& message);
    /// Whether an order is out to the engine.
    bool hasActiveOrder(const endpoint_id& endpoint) const;
    /// Whether the newest state of the engine was read before then, or none was.
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
        /// Set where the answer was lost.
        bool unknown = false;
    };
    struct engine_entry {
        bool leaving = false;
        std::optional<observed_engine> observed;
        monotonic_time observedAt {};
        /// End of the last order that reached the engine.
        std::optional<monotonic_time> lastOrder;
        std::optional<active_order> active;
        std::vector<engine_order_change> missing;
        std::map<engine_order_change, order_entry> orders;

        bool touched() const { return active || (lastOrder && observedAt < *lastOrder); }
    };

    /// Whether one more engine may be changed now.
    bool mayTouch() const;
    void end(monotonic_time now, engine_entry& engine, order_state state, const std::string& message, bool reached);
    void fail(monotonic_time now, order_entry& entry, const std::string& message) const;
    void refresh(monotonic_time now, engine_entry& engine);
    bool due(const engine_entry& engine, const engine_order_change& change, monotonic_time at) const;

    reconciler_settings m_settings;
    desired_engine m_desired;
    std::map<endpoint_id, engine_entry> m_engines;
};

} // namespace carawaylink
