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
#include <set>
#include <unordered_map>

namespace carawaylink::gateway {

/// The quotas of all teams at this node, and the counts of those teams that this node is in charge of. Every team has one node in charge,
/// to which the nodes that serve the team report what they use. Does no I/O.
class team_quotas {
public:
    using sender = std::function<void(const node_id& node, peer::envelopeT message)>;
    /// Writes or deletes the mark of a team in the store.
    using mark_writer = std::function<void(const team_id& team, bool isMarked)>;

    /// run: identifies this process. isFirstStart: the whole fleet starts for the first time, so that all quotas are unused.
    team_quotas(node_id self, std::uint64_t run, bool isFirstStart, duration window, monotonic_time now, sender send);

    void setMarkWriter(mark_writer writer) { m_writeMark = std::move(writer); }
    /// Teams that the store names as having used their quota unevenly before this process started; their whole window counts as used at the
    /// start.
    void restoreMarks(std::set<team_id> teams, monotonic_time now);
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
    /// Number of teams whose usage is uneven by what this node was told.
    std::size_t markedTeams() const;
    double remaining(const team_id& team, monotonic_time now) const;

    /// Sends the reports that are due; call every few tens of milliseconds.
    void tick(const fleet_members& members, monotonic_time now);
    void receive(const node_id& node, const peer::quota_reportT& report, monotonic_time now);
    void receive(const node_id& node, const peer::quota_totalsT& totals, monotonic_time now);
    void removeNode(const node_id& node) { m_collector.removeNode(node); }

private:
    struct team_state {
        team_state(team_id teamName, const limits::quota_limit& limit, monotonic_time now, bool startsUnused)
            : name(std::move(teamName))
            , quota(limit, now, startsUnused)
            , fleetUsage(limit, now, true)
            , reporter(startsUnused)
        {
        }
        team_id name;
        limits::shared_quota quota;
        /// What all nodes reported here since this process started, and the total as of the last report.
        limits::shared_quota fleetUsage;
        double fleetTotal = 0;
        /// The store names the team as having used its quota unevenly, and the usage was last uneven at this time.
        bool isMarked = false;
        /// The team had a mark when this process started.
        bool startedMarked = false;
        monotonic_time lastAheadAt {};
        limits::usage_reporter reporter;
        /// The remaining units were taken over from another node after the start of this process.
        bool hasAdopted = false;
        /// Node in charge of the team, and the version of the members by which it was determined.
        node_id collector;
        std::uint64_t membersVersion = 0;
    };

    const team_state* find(const team_id& team) const;
    team_state* find(const team_id& team) { return const_cast<team_state*>(std::as_const(*this).find(team)); }
    void followKnownLevel(team_state& team, const limits::quota_total& total, double level, monotonic_time now);
    void countForFleet(team_state& team, double allUsed, monotonic_time now);
    /// Writes and deletes the marks of the teams that this node is in charge of.
    void updateMarks(const fleet_members& members, monotonic_time now);
    void applyMark(team_state& team);
    void adopt(limits::team_hash team, double remaining, monotonic_time now);
    limits::quota_nodes nodesFor(const team_state& team, const fleet_size& fleet, monotonic_time now) const;

    node_id m_self;
    std::uint64_t m_run;
    bool m_isFirstStart;
    duration m_window;
    monotonic_time m_startedAt;
    sender m_send;
    mark_writer m_writeMark = [](const team_id&, bool) {};
    /// Marks that were in the store when this process started.
    std::set<team_id> m_marksAtStart;
    monotonic_time m_lastMarkUpdateAt {};
    std::map<limits::team_hash, team_state> m_teams;
    limits::usage_collector m_collector;
    monotonic_time m_lastExpiryAt {};
};

} // namespace carawaylink::gateway
