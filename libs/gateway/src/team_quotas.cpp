#include "team_quotas.h"

#include "peer_codec.h"

#include <algorithm>
#include <utility>

namespace carawaylink::gateway {

namespace {

// A process adopts the remaining units that other nodes know within this time after its start.
constexpr auto adoptionTime = std::chrono::seconds(3);
constexpr auto expiryInterval = std::chrono::seconds(1);
// A team that sends eight times its limit uses a tenth of its window in about 100 ms.
constexpr auto markInterval = std::chrono::milliseconds(100);

} // namespace

team_quotas::team_quotas(node_id self, std::uint64_t run, bool isFirstStart, duration window, monotonic_time now, sender send)
    : m_self(std::move(self))
    , m_run(run)
    , m_isFirstStart(isFirstStart)
    , m_window(window)
    , m_startedAt(now)
    , m_send(std::move(send))
{
}

const team_quotas::team_state* team_quotas::find(const team_id& team) const
{
    const auto found = m_teams.find(teamHash(team));
    return found == m_teams.end() ? nullptr : &found->second;
}

void team_quotas::configure(const routing::team_definition& team, monotonic_time now)
{
    const limits::quota_limit limit { team.ratePerSecond, team.burst, m_window };
    const auto [position, inserted] = m_teams.try_emplace(teamHash(team.name), team.name, limit, now, m_isFirstStart);
    auto& state = position->second;
    if (inserted) {
        applyMark(state);
        return;
    }
    state.quota.configure(limit, now);
    state.fleetUsage.configure(limit, now);
}

limits::quota_nodes team_quotas::nodesFor(const team_state& team, const fleet_size& fleet, monotonic_time now) const
{
    return team.reporter.nodes(fleet.reachable, fleet.possible, now);
}

bool team_quotas::reserve(const team_id& team, double units, tier level, const fleet_size& fleet, monotonic_time now)
{
    auto* state = find(team);
    return !state || state->quota.reserve(units, level, nodesFor(*state, fleet, now), now);
}

void team_quotas::commit(const team_id& team, double units, monotonic_time now)
{
    if (auto* state = find(team))
        state->quota.commit(units, now);
}

void team_quotas::release(const team_id& team, double units)
{
    if (auto* state = find(team))
        state->quota.release(units);
}

limits::quota_requirement team_quotas::requirementFor(
    const team_id& team, double units, tier level, const fleet_size& fleet, monotonic_time now) const
{
    const auto* state = find(team);
    return state ? state->quota.requirementFor(units, level, nodesFor(*state, fleet, now), now) : limits::quota_requirement {};
}

duration team_quotas::timeUntilAvailable(const team_id& team, double units, tier level, const fleet_size& fleet, monotonic_time now) const
{
    const auto* state = find(team);
    return state ? state->quota.timeUntilAvailable(units, level, nodesFor(*state, fleet, now), now) : duration {};
}

double team_quotas::remaining(const team_id& team, monotonic_time now) const
{
    const auto* state = find(team);
    return state ? state->quota.remaining(now) : 0;
}

void team_quotas::restoreMarks(std::set<team_id> teams, monotonic_time now)
{
    if (now - m_startedAt > adoptionTime)
        return;
    m_marksAtStart = std::move(teams);
    for (auto& [hash, team] : m_teams)
        applyMark(team);
}

// Peers that have just started themselves report that more is left, so that nothing is adopted from any.
void team_quotas::applyMark(team_state& team)
{
    if (m_isFirstStart || !m_marksAtStart.contains(team.name))
        return;
    team.quota.assumeUsedAt(team.quota.unitsPerWindow(), m_startedAt);
    team.startedMarked = true;
    team.hasAdopted = true;
    team.isMarked = true;
    team.lastAheadAt = m_startedAt;
}

// Of a single node that restarts, the others know what is left. The node in charge knows it if it has counted for a window; when the units
// were used is not known, so that they leave the window last.
void team_quotas::followKnownLevel(team_state& team, const limits::quota_total& total, double level, monotonic_time now)
{
    if (!team.startedMarked || now - m_startedAt >= m_window || total.counted < m_window)
        return;
    const double perWindow = team.quota.unitsPerWindow();
    team.quota.assumeUsedAt(std::clamp(perWindow - level, 0.0, perWindow), now);
}

void team_quotas::countForFleet(team_state& team, double allUsed, monotonic_time now)
{
    // The count of a team without reports for long starts over.
    const double before = allUsed < team.fleetTotal ? 0 : team.fleetTotal;
    team.fleetUsage.addPeerUsage(allUsed - before, now);
    team.fleetTotal = allUsed;
}

void team_quotas::updateMarks(const fleet_members& members, monotonic_time now)
{
    for (auto& [hash, team] : m_teams) {
        if (!team.quota.isLimited())
            continue;
        const bool isAhead = team.fleetUsage.isAheadOfEvenUsage(now);
        if (isAhead)
            team.lastAheadAt = now;
        const bool needsMark = isAhead || (team.isMarked && now - team.lastAheadAt < m_window);
        if (needsMark == team.isMarked)
            continue;
        team.isMarked = needsMark;
        // A node that is no longer in charge must not delete the mark of its successor.
        if (members.nodeFor(hash) == m_self)
            m_writeMark(team.name, needsMark);
    }
}

std::size_t team_quotas::markedTeams() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_teams, [](const auto& entry) { return entry.second.isMarked; }));
}

void team_quotas::tick(const fleet_members& members, monotonic_time now)
{
    if (now - m_lastMarkUpdateAt >= markInterval) {
        m_lastMarkUpdateAt = now;
        updateMarks(members, now);
    }
    if (now - m_lastExpiryAt > expiryInterval) {
        m_lastExpiryAt = now;
        m_collector.expire(now);
    }
    std::map<node_id, peer::quota_reportT> reports;
    for (auto& [hash, team] : m_teams) {
        if (!team.reporter.isDue(team.quota, now))
            continue;
        if (std::exchange(team.membersVersion, members.version()) != members.version())
            team.collector = members.nodeFor(hash);
        const auto use = team.reporter.takeReport(team.collector, team.quota, now);
        reports[team.collector].uses.emplace_back(hash, use.used, static_cast<float>(use.unconfirmed), static_cast<float>(use.reserved),
            static_cast<float>(team.quota.remaining(now)));
    }
    for (auto& [node, report] : reports) {
        report.run = m_run;
        peer::envelopeT message;
        message.body.Set(std::move(report));
        m_send(node, std::move(message));
    }
}

void team_quotas::receive(const node_id& node, const peer::quota_reportT& report, monotonic_time now)
{
    peer::quota_totalsT totals;
    totals.run = m_run;
    for (const auto& use : report.uses) {
        if (node != m_self)
            adopt(use.team(), use.level(), now);
        const auto total = m_collector.report(use.team(), node, report.run, { use.used(), use.unconfirmed(), use.reserved() }, now);
        const auto team = m_teams.find(use.team());
        // Without the configuration of the team, the remaining units are unknown here.
        if (team == m_teams.end())
            continue;
        countForFleet(team->second, total.allUsed, now);
        // A node in charge that does not serve the team knows its use only from the reports.
        const auto level = std::min(team->second.quota.remaining(now), team->second.fleetUsage.remaining(now));
        totals.totals.emplace_back(use.team(), total.confirmed, total.othersUsed, static_cast<float>(total.othersReserved),
            static_cast<float>(level), encodeMilliseconds(total.counted));
    }
    peer::envelopeT message;
    message.body.Set(std::move(totals));
    m_send(node, std::move(message));
}

void team_quotas::receive(const node_id& node, const peer::quota_totalsT& totals, monotonic_time now)
{
    for (const auto& entry : totals.totals) {
        const auto found = m_teams.find(entry.team());
        if (found == m_teams.end())
            continue;
        if (node != m_self)
            adopt(entry.team(), entry.level(), now);
        const limits::quota_total total { entry.confirmed(), entry.others_used(), entry.others_reserved(),
            std::chrono::milliseconds(entry.counted_ms()) };
        found->second.reporter.receive(node, totals.run, total, entry.level(), found->second.quota, now);
        followKnownLevel(found->second, total, entry.level(), now);
    }
}

void team_quotas::adopt(limits::team_hash team, double remaining, monotonic_time now)
{
    const auto found = m_teams.find(team);
    if (found == m_teams.end() || m_isFirstStart || now - m_startedAt > adoptionTime || std::exchange(found->second.hasAdopted, true))
        return;
    found->second.quota.setRemaining(remaining, now);
}

} // namespace carawaylink::gateway
