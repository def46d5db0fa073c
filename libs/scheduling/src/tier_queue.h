#pragma once

#include "records.h"

namespace carawaylink {

struct team_record {
    team_id id;
    double weight = 1.0;
    std::size_t maxWaiting = 2000;
    std::size_t waiting = 0;
    /// Ordered by tier, most urgent first.
    std::vector<flow*> flows;
};

/// The waiting requests of one team in one tier.
struct flow {
    flow(team_record& owningTeam, tier ownLevel);

    team_record& team;
    tier level;
    /// Cost of the served requests in tokens, divided by the weight of the team (weighted fair queueing).
    double virtualTime = 0;
    output_shares outputShares;
    /// Sum of request_record::workSeconds of the waiting requests.
    double workSeconds = 0;
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

/// Median of the last 256 values, the window of long_request_factor.
class running_median {
public:
    void add(double value);
    /// 0 while there are too few values for a meaningful median.
    double value() const;

private:
    static constexpr std::size_t window = 256;
    std::vector<double> m_recent;
    std::vector<double> m_sorted;
    std::size_t m_next = 0;
};

/// Mean number of slots used by recent requests: their seconds of work, decaying over time, divided by the time constant.
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

/// Share of recent requests that were preempted. It decays while there are no samples, so that held-back requests are tried again.
class preemption_risk {
public:
    void add(monotonic_time now, bool preempted);
    double at(monotonic_time now) const;

private:
    double m_share = 0;
    monotonic_time m_last {};
};

/// Queue of one tier. Teams are ordered by virtual time, and the requests of a team by deadline. Short and long requests are kept in
/// separate sets, so that a long request at the head does not block short ones while long requests are held back. Each operation is
/// logarithmic in the number of teams and in the number of requests of one team.
class tier_queue {
public:
    /// Adds a request to its flow. longAllowed: whether next() may currently return long requests.
    void push(request_record& record, bool longAllowed);
    void remove(request_record& record);
    /// The next request in order, or nullptr.
    request_record* next(bool longAllowed);
    /// The first request to displace: the latest deadline of the team that is furthest ahead of its share.
    request_record* last();

    /// Adds a cost in tokens to the virtual time of a flow; a negative cost is a refund.
    void charge(flow& teamFlow, double costTokens);
    /// Records that the flow is served, so that a team that was idle does not start behind it.
    void serve(const flow& teamFlow);
    /// Calls `change` while the flow is removed from the ordered sets, as needed to change its weight or virtual time.
    template <typename Change> void update(flow& teamFlow, Change change)
    {
        unlink(teamFlow);
        change();
        link(teamFlow);
    }

    std::size_t size() const { return m_size; }
    /// True if every team with short requests is ahead of the first team with long requests by more than the cost of `requests` long
    /// requests.
    bool shortTeamsAhead(double requests) const;
    bool shortWaiting() const { return !m_shortFlows.empty(); }
    /// Estimated seconds of slot time that are served before a request of this flow with this deadline.
    double workSecondsAhead(flow& teamFlow, monotonic_time deadline) const;
    double workSeconds() const { return m_workSeconds; }

    running_median costs;
    recent_demand shortDemand;
    preemption_risk longPreemptionRisk;
    /// Long requests of this tier that hold or have reserved a slot.
    std::size_t longRunning = 0;
    std::size_t running = 0;
    /// Requests that wait for a slot of one endpoint.
    std::size_t parked = 0;
    /// Running requests that may be preempted and are not being preempted yet.
    std::size_t preemptible = 0;

private:
    using short_flows = boost::intrusive::multiset<flow, boost::intrusive::compare<flow_order>,
        boost::intrusive::member_hook<flow, set_hook, &flow::shortHook>>;
    using long_flows = boost::intrusive::multiset<flow, boost::intrusive::compare<flow_order>,
        boost::intrusive::member_hook<flow, set_hook, &flow::longHook>>;

    void link(flow& teamFlow);
    void unlink(flow& teamFlow);

    short_flows m_shortFlows;
    long_flows m_longFlows;
    std::size_t m_size = 0;
    double m_workSeconds = 0;
    double m_activeWeight = 0;
    double m_servedVirtualTime = 0;
};

} // namespace carawaylink
