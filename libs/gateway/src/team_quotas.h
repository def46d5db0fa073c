#pragma once

#include "fleet_members.h"
#include "limits/shared_quota.h"
#include "limits/usage_collector.h"
#include "limits/usage_reporter.h"
#include "routing/fleet_configuration.h"
#include "wire/generated/peer_state_generated.h"

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace carawaylink::gateway {

/// The quotas of all teams at this node, and the counts of those teams that this node is in charge of. Every team has one node in charge,
/// to which the nodes that serve the team report what they use. Does no I/O.
class team_quotas {
public:
    using sender = std::function<void(const node_id& node, peer::envelopeT message)>;

    /// run: identifies this process. isFirstStart: the whole fleet starts for the first time, so that all quotas are unused.
    team_quotas(node_id self, std::uint64_t run, bool isFirstStart, duration window, monotonic_time now, sender send);

    void configure(const routing::team_definition& team, monotonic_time now);
    /// Reserves units for a request; returns false if the quota does not permit it.
    bool reserve(const team_id& team, double units, tier level, const fleet_size& fleet, monotonic_time now);
    /// Converts the reserved units of a request that was sent into usage.
    void commit(const team_id& team, double units, monotonic_time now);
    /// Releases the reserved units of a request that was not sent.
    void release(const team_id& team, double units);
    /// What a request needs and what the team has left.
    limits::quota_requirement requirementFor(
        const team_id& team, double units, tier level, const fleet_size& fleet, monotonic_time now) const;
    duration timeUntilAvailable(const team_id& team, double units, tier level, const fleet_size& fleet, monotonic_time now) const;
    double remaining(const team_id& team, monotonic_time now) const;

    /// Sends the reports that are due; call every few tens of milliseconds.
    void tick(const fleet_members& members, monotonic_time now);
    void receive(const node_id& node, const peer::quota_reportT& report, monotonic_time now);
    void receive(const node_id& node, const peer::quota_totalsT& totals, monotonic_time now);
    void removeNode(const node_id& node) { m_collector.removeNode(node); }

private:
    struct team_state {
        team_state(const limits::quota_limit& limit, monotonic_time now, bool startsUnused)
            : quota(limit, now, startsUnused)
            , reporter(startsUnused)
        {
        }
        limits::shared_quota quota;
        limits::usage_reporter reporter;
        /// The remaining units were taken over from another node after the start of this process.
        bool hasAdopted = false;
        /// Node in charge of the team, and the version of the members by which it was determined.
        node_id collector;
        std::uint64_t membersVersion = 0;
    };

    const team_state* find(const team_id& team) const;
    team_state* find(const team_id& team) { return const_cast<team_state*>(std::as_const(*this).find(team)); }
    void adopt(limits::team_hash team, double remaining, monotonic_time now);
    limits::quota_nodes nodesFor(const team_state& team, const fleet_size& fleet, monotonic_time now) const;

    node_id m_self;
    std::uint64_t m_run;
    bool m_isFirstStart;
    duration m_window;
    monotonic_time m_startedAt;
    sender m_send;
    std::map<limits::team_hash, team_state> m_teams;
    limits::usage_collector m_collector;
    monotonic_time m_lastExpiryAt {};
};

} // namespace carawaylink::gateway
