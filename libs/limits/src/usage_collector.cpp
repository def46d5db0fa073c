#include "limits/usage_collector.h"

#include <algorithm>
#include <utility>

namespace carawaylink::limits {

namespace {

// A node that holds reservations reports several times a second.
constexpr auto reservationTimeout = std::chrono::milliseconds(1500);
constexpr auto teamTimeout = std::chrono::seconds(60);

} // namespace

quota_total usage_collector::report(team_hash team, const node_id& node, std::uint64_t run, const quota_use& use, monotonic_time now)
{
    auto& state = m_teams.try_emplace(team, team_state { now, 0, 0, {} }).first->second;
    const auto [position, inserted] = state.nodes.try_emplace(node);
    auto& known = position->second;
    const bool isNewProcess = inserted || known.run != run;
    const double added = isNewProcess ? use.unconfirmed : std::max(use.used - known.lastUsed, 0.0);
    known.run = run;
    known.lastUsed = isNewProcess ? use.used : std::max(known.lastUsed, use.used);
    known.growth += added;
    known.lastReportAt = now;
    state.growth += added;
    state.reserved += use.reserved - std::exchange(known.reserved, use.reserved);
    return { use.used, state.growth - known.growth, state.reserved - known.reserved, now - state.since, state.growth };
}

void usage_collector::removeNode(const node_id& node)
{
    for (auto& [team, state] : m_teams) {
        const auto found = state.nodes.find(node);
        if (found != state.nodes.end())
            state.reserved -= std::exchange(found->second.reserved, 0);
    }
}

void usage_collector::expire(monotonic_time now)
{
    for (auto& [team, state] : m_teams) {
        for (auto& [node, usage] : state.nodes) {
            if (now - usage.lastReportAt > reservationTimeout)
                state.reserved -= std::exchange(usage.reserved, 0);
        }
    }
    std::erase_if(m_teams, [now](const auto& entry) {
        return std::ranges::all_of(entry.second.nodes, [now](const auto& node) { return now - node.second.lastReportAt > teamTimeout; });
    });
}

} // namespace carawaylink::limits
