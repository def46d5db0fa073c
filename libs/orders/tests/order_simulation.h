#pragma once

#include "orders/order_lease.h"
#include "orders/permit_table.h"

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace carawaylink::simulation {

using namespace std::chrono_literals;

/// One change of the environment; the simulation runs for three ticks after each.
struct event {
    std::uint32_t bits = 0;
};

/// Defects injected into the code under test, to show that the check detects them.
struct defects {
    /// The holder does not check the expiry of its lease before an order.
    bool noLeaseExpiry = false;
    /// A new holder does not wait for orders of the previous one.
    bool noTakeoverWait = false;
    /// All orders have the same fencing token.
    bool sameToken = false;
    /// A permit does not cover the time in which the load runs.
    bool shortPermits = false;
    /// Pauses between the lease check and the send exceed maxSendPauseMs.
    bool longSendPauses = false;
};

/// Several nodes that send orders and load models, coordinated through one log, in virtual time. Times are in milliseconds of the
/// simulation; each node has its own clock with an offset and a rate.
class order_simulation {
public:
    explicit order_simulation(std::uint64_t seed, defects injected = {});

    void step(const event& change);
    /// Ends all faults and checks that every service then gets an order and a load.
    void checkRecovery();

    const std::string& violation() const { return m_violation; }
    std::size_t orders() const { return m_orders.size(); }
    std::size_t refused() const { return m_refused; }
    std::size_t loads() const { return m_loads; }
    std::size_t holderChanges() const { return m_holderChanges; }

    static constexpr std::size_t nodeCount = 3;
    static constexpr std::size_t maxConcurrentLoads = 1;
    static constexpr long tickMs = 100;
    static constexpr long maxOrderDurationMs = 3000;
    /// Maximum time from the send of an order to the end of its effect.
    static constexpr long maxEffectMs = 1200;
    /// Maximum pause between the lease check and the send of an order if engines ignore fencing. The clock margin of 10% in the
    /// settings covers clock rates that differ by 6%.
    static constexpr long maxSendPauseMs = 1500;

private:
    struct stored_record {
        order_record record;
        long at;
    };
    struct delayed_record {
        order_record record;
        long at;
    };
    struct simulated_order {
        std::size_t service;
        order_holder sender;
        /// The order lasts from checkedAt to endsAt; a refused order ends on arrival.
        long checkedAt;
        long arrivesAt;
        long endsAt;
        long fence;
        /// Log offset of the lease under which the order was sent.
        long lease;
        bool load = false;
        bool arrived = false;
        bool admitted = false;
    };
    struct outstanding_order {
        std::size_t order;
        long responseAt;
        std::string claim;
    };
    struct log_read {
        long started;
        long at;
        std::size_t from;
        std::size_t to;
        bool truncated;
    };
    struct node {
        std::size_t index = 0;
        order_holder self;
        double rate = 1;
        long offsetMs = 0;
        long pausedUntil = 0;
        long pauseNextSend = 0;
        std::vector<order_lease> leases;
        std::unique_ptr<permit_table> permits;
        std::size_t nextOffset = 0;
        std::optional<log_read> reading;
        std::vector<bool> ordersDue;
        std::vector<std::optional<outstanding_order>> outstanding;
        std::vector<long> newestOwnLease;
        std::vector<std::optional<log_offset>> lastToken;
        std::vector<bool> foreign;
    };

    void startNode(node& state);
    monotonic_time clock(const node& state, long at) const;
    void tick();
    void runNode(node& state);
    void receive(node& state, const log_read& read);
    void append(const order_record& record);
    void sendOrders(node& state, std::size_t service);
    std::optional<log_offset> tokenOf(node& state, std::size_t service);
    void runEngines();
    void check();
    void recordViolation(const std::string& text);
    long randomBetween(long from, long to);

    std::mt19937_64 m_random;
    defects m_defects;
    long m_now = 1000000;
    std::vector<stored_record> m_log;
    std::size_t m_firstOffset = 0;
    std::vector<delayed_record> m_delayed;
    long m_outageUntil = 0;
    long m_lossUntil = 0;
    long m_lateUntil = 0;
    long m_duplicatesUntil = 0;
    std::vector<node> m_nodes;
    std::vector<simulated_order> m_orders;
    std::vector<std::size_t> m_activeOrders;
    std::vector<long> m_engineFence;
    std::vector<long> m_engineLease;
    std::uint64_t m_nextRun = 1;
    std::size_t m_refused = 0;
    std::size_t m_loads = 0;
    std::size_t m_holderChanges = 0;
    std::vector<order_holder> m_lastSender;
    std::string m_violation;
};

} // namespace carawaylink::simulation
