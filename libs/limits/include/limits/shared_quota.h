#pragma once

#include "base/ids.h"

#include <cstddef>
#include <deque>

namespace carawaylink::limits {

/// What a team may use: in any window, the rate times its length and the burst.
struct quota_limit {
    /// No limit where it is 0.
    double ratePerSecond = 0;
    double burst = 0;
    duration window = std::chrono::seconds(8);

    double unitsPerWindow() const;
};

/// Nodes that draw on a quota, this one included.
struct quota_nodes {
    /// Nodes whose use is known here.
    std::size_t reporting = 1;
    /// Nodes that may be running.
    std::size_t possible = 1;

    double share() const;
};

/// What a request needs of a quota, and what there is for it.
struct quota_requirement {
    /// Its units and what it leaves for more urgent requests.
    double needed = 0;
    /// Left in the window without what peers are taken to have used since their last report.
    double available = 0;
};

/// Quota of one team that all nodes draw on. Each node counts its own use and what the others report in a sliding window; a node
/// that cannot hear all others uses the part of those that it hears.
///
///     if (quota.reserve(units, level, nodes, now)) { ... quota.commit(units, now); }
class shared_quota {
public:
    /// A quota that starts unused may be used only where the fleet starts for the first time: after a restart the units that were
    /// taken before are not known.
    shared_quota(const quota_limit& limit, monotonic_time now, bool startsUnused);

    /// Changes the limit. What was used in the current window counts against the new one in proportion.
    void configure(const quota_limit& limit, monotonic_time now);
    /// Sets units aside for a request where the window has room for them and something for more urgent requests besides.
    bool reserve(double units, tier level, const quota_nodes& nodes, monotonic_time now);
    /// Counts reserved units as used: the request was sent.
    void commit(double units, monotonic_time now);
    /// Returns reserved units of a request that was not sent.
    void release(double units);
    /// Counts what another node has used.
    void addPeerUsage(double units, monotonic_time now);
    /// Changes what the other nodes hold reserved.
    void addPeerReserved(double units) { m_peerReserved += units; }
    quota_requirement requirementFor(double units, tier level, const quota_nodes& nodes, monotonic_time now) const;
    /// Time until the window has room for the units.
    duration timeUntilAvailable(double units, tier level, const quota_nodes& nodes, monotonic_time now) const;
    /// Takes over what another node knows to be left, for a node that has just started.
    void setRemaining(double units, monotonic_time now);

    /// Units that are left in the window.
    double remaining(monotonic_time now) const;
    /// All units that this node has used.
    double localUsage() const { return m_usedHere; }
    /// Units that this node holds reserved.
    double localReserved() const { return m_reserved; }
    bool isLimited() const { return m_limit.ratePerSecond > 0; }

private:
    struct interval {
        monotonic_time start;
        double units = 0;
    };
    struct own_use {
        monotonic_time time;
        double units = 0;
    };

    void count(double units, monotonic_time now);
    void forget(monotonic_time now);
    void spread(double units, monotonic_time now);
    double used() const;
    double unreported(const quota_nodes& nodes, monotonic_time now) const;
    double needed(double units, tier level, double capacity) const;
    duration intervalLength() const;

    quota_limit m_limit;
    std::deque<interval> m_use;
    std::deque<own_use> m_recent;
    double m_reserved = 0;
    double m_peerReserved = 0;
    double m_usedHere = 0;
};

} // namespace carawaylink::limits
