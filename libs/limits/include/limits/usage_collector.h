#pragma once

#include "base/ids.h"

#include <cstdint>
#include <map>
#include <unordered_map>

namespace carawaylink::limits {

/// Identifies a team in messages between nodes.
using team_hash = std::uint64_t;

/// Use of a team's quota by one process of one node, in quota units.
struct quota_use {
    /// Units used since the start of the process.
    double used = 0;
    /// Of these, the units that no collector has confirmed.
    double unconfirmed = 0;
    /// Units of requests that were admitted and not sent yet.
    double reserved = 0;
};

/// Use of a team's quota by all nodes except the one that receives it.
struct quota_total {
    /// The used units that the receiver reported.
    double confirmed = 0;
    /// Units used since the collector began to count.
    double othersUsed = 0;
    double othersReserved = 0;
    /// Time since the collector began to count.
    duration counted {};
    /// Units used by all nodes since the collector began to count.
    double allUsed = 0;
};

/// Adds up what the nodes use of the quotas of those teams that one node is in charge of. A new collector starts from what the nodes
/// report as unconfirmed, so that little is lost with its predecessor. Does no I/O and reads no clock.
class usage_collector {
public:
    /// run: identifies the process that reports.
    quota_total report(team_hash team, const node_id& node, std::uint64_t run, const quota_use& use, monotonic_time now);
    /// Drops the reservations of a node whose process has ended.
    void removeNode(const node_id& node);
    /// Drops the reservations of nodes that have not reported for long, and teams without reports.
    void expire(monotonic_time now);
    std::size_t teams() const { return m_teams.size(); }

private:
    struct node_usage {
        std::uint64_t run = 0;
        double lastUsed = 0;
        double growth = 0;
        double reserved = 0;
        monotonic_time lastReportAt {};
    };
    struct team_state {
        monotonic_time since {};
        double growth = 0;
        double reserved = 0;
        std::map<node_id, node_usage> nodes;
    };

    std::unordered_map<team_hash, team_state> m_teams;
};

} // namespace carawaylink::limits
