#pragma once

#include "base/ids.h"

#include <cstddef>
#include <deque>

namespace carawaylink::limits {

/// Limit of a team: in any window it may use the rate times the window length, plus the burst.
struct quota_limit {
    /// 0 for no limit.
    double ratePerSecond = 0;
    double burst = 0;
    duration window = std::chrono::seconds(8);

    double unitsPerWindow() const;
};

/// Number of nodes that share a quota, including this one.
struct quota_nodes {
    /// Nodes whose usage is known here.
    std::size_t reporting = 1;
    /// Nodes that may be running.
    std::size_t possible = 1;
    /// Rate at which the other nodes used the quota by their last reports.
    double peerUnitsPerSecond = 0;
    /// Age of what is known of their usage.
    duration reportAge = std::chrono::milliseconds(300);

    double share() const;
};

/// Units that a request requires of a quota, and the units available to it.
struct quota_requirement {
    /// The units of the request plus the reserve for more urgent requests.
    double requiredUnits = 0;
    /// Units left in the window, less the estimated usage of peers since their last report.
    double availableUnits = 0;
};

/// Sliding-window quota of one team, shared by all nodes. Each node counts its own usage and the usage that its peers report. A node that
/// does not hear from all others uses only the share of those that it hears from.
///
///     if (quota.reserve(units, level, nodes, now)) { ... quota.commit(units, now); }
class shared_quota {
public:
    /// startsUnused: pass true only at the first start of the whole fleet; after a restart the units used before are unknown.
    shared_quota(const quota_limit& limit, monotonic_time now, bool startsUnused);

    /// Changes the limit. Usage under a higher limit counts in proportion to the current one, so that a team that was below the higher
    /// limit is not refused until that usage has left the window.
    void configure(const quota_limit& limit, monotonic_time now);
    /// Reserves units for a request if the window has room for them and for the reserve of more urgent requests.
    bool reserve(double units, tier level, const quota_nodes& nodes, monotonic_time now);
    /// Converts reserved units to used ones after the request was sent.
    void commit(double units, monotonic_time now);
    /// Returns the reserved units of a request that was not sent.
    void release(double units);
    /// Adds usage reported by a peer.
    void addPeerUsage(double units, monotonic_time now);
    /// Adjusts the units reserved by peers.
    void addPeerReserved(double units) { m_peerReserved += units; }
    quota_requirement requirementFor(double units, tier level, const quota_nodes& nodes, monotonic_time now) const;
    /// Time until the window has room for the units.
    duration timeUntilAvailable(double units, tier level, const quota_nodes& nodes, monotonic_time now) const;
    /// Sets the remaining units to what a peer reports, for a node that has just started.
    void setRemaining(double units, monotonic_time now);

    /// Replaces what is known up to this time by units that were all used at it, for a node that has just started and knows nothing of an
    /// uneven usage before.
    void assumeUsedAt(double units, monotonic_time time);
    /// Whether the usage up to now would exceed the limit noticeably if a restarted fleet took it for even.
    bool isAheadOfEvenUsage(monotonic_time now) const;

    /// Units left in the window.
    double remaining(monotonic_time now) const;
    /// Total units used by this node.
    double localUsage() const { return m_localUsage; }
    /// Units currently reserved by this node.
    double localReserved() const { return m_reserved; }
    bool isLimited() const { return m_limit.ratePerSecond > 0; }
    duration window() const { return m_limit.window; }
    double unitsPerWindow() const { return m_limit.unitsPerWindow(); }

private:
    struct interval {
        monotonic_time start;
        double units = 0;
        /// Units per window of the limit in force at the time of use.
        double limit = 0;
        /// Usage of all nodes before this one knew of it by itself, which other nodes assume as well.
        bool isAssumed = false;
    };
    struct timed_usage {
        monotonic_time time;
        double units = 0;
    };

    void addUsage(double units, monotonic_time now, bool isAssumed = false);
    void expireOldUsage(monotonic_time now);
    void distributeOverWindow(double units, double limit, monotonic_time now);
    /// Units of the interval that count against the current limit.
    double countedUnits(const interval& part) const;
    /// Units that count for a node that may use this share of the quota.
    double countedUnits(const interval& part, double share) const;
    double used(double share) const;
    double estimatedUnreportedUsage(const quota_nodes& nodes, monotonic_time now) const;
    double requiredUnits(double units, tier level, double capacity) const;
    duration intervalLength() const;

    quota_limit m_limit;
    std::deque<interval> m_intervals;
    std::deque<timed_usage> m_recentUsage;
    double m_reserved = 0;
    double m_peerReserved = 0;
    double m_localUsage = 0;
};

} // namespace carawaylink::limits
