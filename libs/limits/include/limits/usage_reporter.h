#pragma once

#include "limits/shared_quota.h"
#include "limits/usage_collector.h"

#include <deque>
#include <optional>

namespace carawaylink::limits {

/// A node's side of the count of one team's usage over all nodes: decides when to report to the node in charge of the team, and adds what
/// the others used to the node's quota. Does no I/O and reads no clock.
class usage_reporter {
public:
    /// startsUnused: see shared_quota.
    explicit usage_reporter(bool startsUnused)
        : m_startsUnused(startsUnused)
    {
    }

    bool isDue(const shared_quota& quota, monotonic_time now);
    /// Returns the use to report to the node in charge; call if a report is due.
    quota_use takeReport(const node_id& collector, const shared_quota& quota, monotonic_time now);
    /// Applies the reply of the node in charge. run: identifies its process. level: units left by its view.
    void receive(
        const node_id& collector, std::uint64_t run, const quota_total& total, double level, shared_quota& quota, monotonic_time now);
    /// False if the node in charge does not reply.
    bool isConnected(monotonic_time now) const;
    /// The nodes that share the quota, as this node must count them now: alone if the node in charge does not reply.
    quota_nodes nodes(std::size_t reporting, std::size_t possible, monotonic_time now) const;

private:
    struct timed_total {
        monotonic_time time;
        double units = 0;
    };
    void updatePeerRate(double othersUsed, monotonic_time now);

    bool m_startsUnused;
    node_id m_collector;
    std::uint64_t m_collectorRun = 0;
    double m_reportedUsed = 0;
    double m_reportedReserved = 0;
    double m_confirmed = 0;
    double m_othersUsed = 0;
    double m_othersReserved = 0;
    /// What the others had used at recent replies.
    std::deque<timed_total> m_recentTotals;
    double m_peerUnitsPerSecond = 0;
    bool m_isNearLimit = false;
    bool m_isFirstReport = true;
    std::optional<monotonic_time> m_awaitingSince;
    std::optional<monotonic_time> m_lastReplyAt;
    monotonic_time m_lastReportAt {};
    monotonic_time m_lastUseAt {};
};

} // namespace carawaylink::limits
