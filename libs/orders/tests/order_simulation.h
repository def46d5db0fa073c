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

/// One change of the environment; the simulation runs for one tick after each.
struct event {
    std::uint32_t bits = 0;
};

/// Faults put into the code under test, to show that the check notices them.
struct defects {
    /// The holder does not look at its clock before an order.
    bool noDeadline = false;
    /// A new holder does not wait for orders of the old one.
    bool noQuietWait = false;
    /// All orders have the same token.
    bool sameToken = false;
    /// A permit does not cover the time in which the load runs.
    bool shortPermits = false;
    /// Pauses between check and send are longer than the bound.
    bool longSendPauses = false;
};

/// Several nodes give orders and load models through one log, in virtual time. Real time is counted in milliseconds; each node
/// has its own clock with an offset and a rate.
class order_simulation {
public:
    explicit order_simulation(std::uint64_t seed, defects broken = {});

    void step(const event& change);
    /// No more faults: until the end every service must get an order.
    void settle();

    const std::string& breach() const { return m_breach; }
    std::size_t orders() const { return m_orders.size(); }
    std::size_t refused() const { return m_refused; }
    std::size_t loads() const { return m_loads; }
    std::size_t holders() const { return m_holders; }

    static constexpr std::size_t nodeCount = 3;
    static constexpr std::size_t loadLimit = 1;
    static constexpr long tickMs = 100;
    static constexpr long inFlightMs = 3000;
    /// Longest effect of an order with its way to the engine.
    static constexpr long maxEffectMs = 1200;
    /// Bound of a pause between the check before an order and its sending, where engines ignore fencing. The margin of 10% of
    /// the settings covers clocks that differ by 6%.
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
    struct order_run {
        std::size_t service;
        order_holder sender;
        /// From the check to the end of the effect; to the arrival where the engine refused it.
        long checkedAt;
        long arrivesAt;
        long endsAt;
        long fence;
        /// Offset of the lease under which it was sent, from the log.
        long lease;
        bool load = false;
        bool arrived = false;
        bool admitted = false;
    };
    struct outstanding {
        std::size_t order;
        long answerAt;
        std::string claim;
    };
    struct read_answer {
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
        std::optional<read_answer> reading;
        std::vector<bool> wanted;
        std::vector<std::optional<outstanding>> out;
        std::vector<long> newestOwn;
        std::vector<std::optional<log_offset>> lastToken;
        std::vector<bool> foreign;
    };

    void startNode(node& state);
    monotonic_time clock(const node& state, long at) const;
    void tick();
    void runNode(node& state);
    void receive(node& state, const read_answer& answer);
    void append(const order_record& record);
    void sendOrders(node& state, std::size_t service);
    std::optional<log_offset> tokenOf(node& state, std::size_t service);
    void runEngines();
    void check();
    void report(const std::string& text);
    long pick(long from, long to);

    std::mt19937_64 m_random;
    defects m_defects;
    long m_now = 1000000;
    std::vector<stored_record> m_log;
    std::size_t m_first = 0;
    std::vector<delayed_record> m_delayed;
    long m_outageUntil = 0;
    long m_lossUntil = 0;
    long m_lateUntil = 0;
    long m_duplicatesUntil = 0;
    std::vector<node> m_nodes;
    std::vector<order_run> m_orders;
    std::vector<std::size_t> m_live;
    std::vector<long> m_engineFence;
    std::vector<long> m_engineLease;
    std::uint64_t m_nextRun = 1;
    std::size_t m_refused = 0;
    std::size_t m_loads = 0;
    std::size_t m_holders = 0;
    std::vector<order_holder> m_lastSender;
    std::string m_breach;
};

} // namespace carawaylink::simulation
