#pragma once

#include "records.h"

namespace carawaylink {

struct team_record {
    team_id id;
    double weight = 1.0;
    std::size_t maxWaiting = 2000;
    std::size_t waiting = 0;
    /// Flows of the team, most urgent tier first.
    std::vector<flow*> flows;
};

/// The requests of one team in one tier.
struct flow {
    flow(team_record& ownerTeam, tier ownTier);

    team_record& team;
    tier level;
    /// Tokens of cost divided by weight.
    double virtualTime = 0;
    output_shares outputShares;
    /// Sum of request_record::work of the queue.
    double work = 0;
    deadline_set shortRequests;
    deadline_set longRequests;
    set_hook shortHook;
    set_hook longHook;

    bool empty() const { return shortRequests.empty() && longRequests.empty(); }
    std::size_t size() const { return shortRequests.size() + longRequests.size(); }
    request_record* first(bool longAllowed);
    request_record* last();
};

struct flow_order {
    bool operator()(const flow& left, const flow& right) const { return left.virtualTime < right.virtualTime; }
};

/// Median of the last values, kept sorted; 256 values fit the window of long_request_factor.
class running_median {
public:
    void add(double value);
    /// 0 where there are too few values for a median that means something.
    double value() const;

private:
    static constexpr std::size_t window = 256;
    std::vector<double> m_recent;
    std::vector<double> m_sorted;
    std::size_t m_next = 0;
};

/// Slots that recent requests kept busy: their seconds of work, decaying over time, divided by the time constant.
class recent_demand {
public:
    void add(monotonic_time now, double seconds);
    double at(monotonic_time now) const;

private:
    double decayed(monotonic_time now) const;

    double m_demand = 0;
    monotonic_time m_start {};
    monotonic_time m_last {};
};

/// Share of recent requests that were preempted. It fades while there are no samples, so that held back work is tried again.
class preemption_risk {
public:
    void add(monotonic_time now, bool preempted);
    double at(monotonic_time now) const;

private:
    double m_share = 0;
    monotonic_time m_last {};
};

/// Queue of one tier. Teams are ordered by virtual time, the requests of a team by deadline. Short and long requests are kept
/// apart, so that a long request at the head never hides a short one while long requests are held back. Each operation is
/// logarithmic in the number of teams and of requests of one team.
class tier_queue {
public:
    /// Adds a request to its flow. longAllowed: whether next() may return long requests now.
    void push(request_record& record, bool longAllowed);
    void remove(request_record& record);
    /// The next request in order, or nullptr.
    request_record* next(bool longAllowed);
    /// The request that is displaced first: the latest deadline of the team that is furthest ahead of its share.
    request_record* last();

    /// Adds tokens of cost to the virtual time of a flow; negative to take back.
    void charge(flow& self, double costTokens);
    /// Records that the flow is served, so that an idle team does not start behind it.
    void serve(const flow& self);
    /// Calls `change` while the flow is out of the ordered sets, as changes of its weight and virtual time need.
    template <typename Change> void update(flow& self, Change change)
    {
        unlink(self);
        change();
        link(self);
    }

    std::size_t size() const { return m_size; }
    /// True where every team with short requests is ahead of the first team with long ones by the cost of `requests` of these.
    bool shortTeamsAhead(double requests) const;
    bool shortWaiting() const { return !m_shortFlows.empty(); }
    /// Estimated seconds of slot time that are served before a request of this flow and deadline.
    double workAhead(flow& self, monotonic_time deadline) const;
    double work() const { return m_work; }

    running_median costs;
    recent_demand shortDemand;
    preemption_risk longRisk;
    /// Long requests of this tier that hold or have reserved a slot.
    std::size_t longRunning = 0;
    std::size_t running = 0;
    std::size_t parked = 0;
    /// Running requests that may be preempted and are not yet.
    std::size_t preemptible = 0;

private:
    using short_flows = boost::intrusive::multiset<flow, boost::intrusive::compare<flow_order>,
        boost::intrusive::member_hook<flow, set_hook, &flow::shortHook>>;
    using long_flows = boost::intrusive::multiset<flow, boost::intrusive::compare<flow_order>,
        boost::intrusive::member_hook<flow, set_hook, &flow::longHook>>;

    void link(flow& self);
    void unlink(flow& self);

    short_flows m_shortFlows;
    long_flows m_longFlows;
    std::size_t m_size = 0;
    double m_work = 0;
    double m_activeWeight = 0;
    double m_servedTime = 0;
};

} // namespace carawaylink
